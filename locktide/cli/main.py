"""`locktide`: serve, check, jobs, accord and rehearse."""

from __future__ import annotations

from importlib import import_module

import click

# Each command lies in the module of its name; what the others need is not loaded with it.
COMMANDS = ("accord", "check", "jobs", "rehearse", "serve")


class Parts(click.Group):
    """Loads a command when it is asked for."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in COMMANDS:
            return None
        found: click.Command = getattr(import_module(f"locktide.cli.{cmd_name}"), cmd_name)
        return found


@click.command(cls=Parts, context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
@click.version_option(package_name="locktide")
def main() -> None:
    """A dispatcher that pushes jobs to workers.

    Exit codes: 0 good, 1 something broke or a rule was broken, 2 a faulty file or argument, 3 a run that came
    too late to count, 130 interrupted.
    """


if __name__ == "__main__":
    main()
