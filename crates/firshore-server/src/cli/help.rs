//! The help texts of all commands, for the reference page.

use super::Arguments;
use argh::FromArgs;

/// Line before the list of subcommands in a help text.
const COMMANDS_HEADING: &str = "Commands:";

/// Help of one command.
pub struct HelpText {
    /// The command's words, such as `firshore jobs`.
    pub command: String,
    /// What `--help` prints.
    pub text: String,
}

/// Help of the program and of every subcommand, in the order in which they are listed.
pub fn help() -> Vec<HelpText> {
    let mut all = Vec::new();
    collect(&mut Vec::new(), &mut all);
    all
}

fn collect(words: &mut Vec<String>, all: &mut Vec<HelpText>) {
    let mut arguments: Vec<&str> = words.iter().map(String::as_str).collect();
    arguments.push("--help");
    let Err(exit) = Arguments::from_args(&["firshore"], &arguments) else {
        return;
    };
    let subcommands = subcommands(&exit.output);
    all.push(HelpText {
        command: ["firshore"]
            .into_iter()
            .chain(words.iter().map(String::as_str))
            .collect::<Vec<_>>()
            .join(" "),
        text: exit.output,
    });
    for name in subcommands {
        words.push(name);
        collect(words, all);
        words.pop();
    }
}

fn subcommands(help: &str) -> Vec<String> {
    help.lines()
        .skip_while(|line| line.trim() != COMMANDS_HEADING)
        .skip(1)
        .take_while(|line| !line.trim().is_empty())
        .filter_map(name)
        .collect()
}

/// The name a line of the list starts with; a line that goes on with a description has none.
fn name(line: &str) -> Option<String> {
    let text = line.strip_prefix("  ")?;
    let first = text.split_whitespace().next()?;
    text.starts_with(first).then(|| first.to_owned())
}
