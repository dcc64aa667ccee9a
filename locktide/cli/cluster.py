"""`locktide cluster show`: what one dispatcher sees of the others."""

from __future__ import annotations

import asyncio
import json
import sys

import click

from locktide.config.address import parse_address
from locktide.config.errors import ConfigError


@click.group()
def cluster() -> None:
    """Look at what dispatchers agree upon."""


@cluster.command()
@click.argument("address")
@click.option("--json", "as_json", is_flag=True, help="Print all of it as JSON.")
def show(address: str, as_json: bool) -> None:
    """Show members and parts as the dispatcher at ADDRESS (its accord.listen) sees them, on its machine."""
    from locktide.cluster.inspection_client import inspect_member  # noqa: PLC0415

    try:
        seen = asyncio.run(inspect_member(parse_address("ADDRESS", address)))
    except ConfigError as trouble:
        raise click.BadParameter(str(trouble)) from None
    except (OSError, TimeoutError, ValueError) as trouble:
        print(f"locktide: {address}: no answer ({type(trouble).__name__})", file=sys.stderr)
        sys.exit(1)
    if as_json:
        print(json.dumps(seen, indent=1))
        return
    led = seen["led_by"] or "nobody"
    left = f"{seen['for_us'] / 1e6:.1f} s" if seen["for_us"] else "floors only"
    click.echo(f"{seen['name']}: led by {led}, health {seen['health']}, parts for {left}")
    for row in seen["members"]:
        click.echo(f"  {row['name']:<24} {row['state']:<8} {row['address']}")
    for name, part in seen["parts"].items():
        click.echo(f"  {name:<24} {part / 1e4:.2f}%")
    for owner, borrower, part in seen["loans"]:
        click.echo(f"  lent by {owner} for {borrower}: {part / 1e4:.2f}%")
    if ledger := seen["ledger"]:
        click.echo(f"ledger {ledger['digest']}, {'contended' if ledger['contended'] else 'not contended'}")
        for name in ledger["order"]:
            held, fair = (ledger[key].get(name, 0) / (1 << 40) for key in ("held", "fair"))
            click.echo(
                f"  {name:<24} holds {100 * held:.2f}%, fair {100 * fair:.2f}%"
                + (" (over)" if name in ledger["over"] else "")
            )
