//! The `firshore` program.

fn main() -> std::process::ExitCode {
    firshore_server::cli::run()
}
