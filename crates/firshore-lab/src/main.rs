//! The `firshore-lab` program.

fn main() -> std::process::ExitCode {
    firshore_lab::cli::run()
}
