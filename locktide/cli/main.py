"""`locktide`: serve, check, jobs, cluster and simulate."""

from __future__ import annotations

from locktide.cli.entry import block_signals_of_serve

if __name__ == "__main__":
    block_signals_of_serve()  # before the imports below

from importlib import import_module

import click

# Module and function of each command; a module is imported only for its own command.
COMMANDS = {
    "check": ("check", "check"),
    "cluster": ("cluster", "cluster"),
    "jobs": ("jobs", "jobs"),
    "serve": ("serve", "serve"),
    "simulate": ("simulate", "simulate"),
}
# Former names of commands: still accepted, not listed.
ALIASES = {"accord": "cluster", "rehearse": "simulate"}


class LazyGroup(click.Group):
    """Imports the module of a command only when the command is looked up."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        name = ALIASES.get(cmd_name, cmd_name)
        if name not in COMMANDS:
            return None
        module, function = COMMANDS[name]
        command: click.Command = getattr(import_module(f"locktide.cli.{module}"), function)
        return command


@click.command(
    cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110}
)
@click.version_option(package_name="locktide")
def main() -> None:
    """A dispatcher that pushes jobs to workers.

    Exit codes: 0 success, 1 a failure or a broken rule, 2 a faulty file or argument, 3 a run that was too
    late to count, 130 interrupted.
    """


if __name__ == "__main__":
    main()
