"""`locktide cluster show`: the state of the cluster as one dispatcher sees it."""

from __future__ import annotations

import asyncio
import json
import sys

import click

from locktide.config.address import parse_address
from locktide.config.errors import ConfigError


@click.group()
def cluster() -> None:
    """Inspect a cluster of dispatchers."""


@cluster.command()
@click.argument("address")
@click.option("--json", "as_json", is_flag=True, help="Print everything as JSON.")
def show(address: str, as_json: bool) -> None:
    """Show members, quota shares and loans as seen by the dispatcher at ADDRESS (its accord.listen).

    Run it on the machine of the dispatcher, which responds on loopback only.
    """
    from locktide.cluster.inspection_client import inspect_member  # noqa: PLC0415

    try:
        view = asyncio.run(inspect_member(parse_address("ADDRESS", address)))
    except ConfigError as error:
        raise click.BadParameter(str(error)) from None
    except (OSError, TimeoutError, ValueError) as error:
        print(f"locktide: {address}: no response ({type(error).__name__})", file=sys.stderr)
        sys.exit(1)
    if as_json:
        print(json.dumps(view, indent=1))
        return
    leader = view["led_by"] or "nobody"
    validity = f"valid for {view['for_us'] / 1e6:.1f} s" if view["for_us"] else "guaranteed minimums only"
    click.echo(f"{view['name']}: led by {leader}, health {view['health']}, quota shares: {validity}")
    for member in view["members"]:
        click.echo(f"  {member['name']:<24} {member['state']:<8} {member['address']}")
    for tenant, share in view["parts"].items():
        click.echo(f"  {tenant:<24} {share / 1e4:.2f}%")
    for lender, borrower, share in view["loans"]:
        click.echo(f"  lent by {lender} to {borrower}: {share / 1e4:.2f}%")
    if ledger := view["ledger"]:
        click.echo(f"ledger {ledger['digest']}, {'contended' if ledger['contended'] else 'not contended'}")
        for tenant in ledger["order"]:
            dominant, fair = (ledger[key].get(tenant, 0) / (1 << 40) for key in ("held", "fair"))
            click.echo(
                f"  {tenant:<24} dominant share {100 * dominant:.2f}%, fair share {100 * fair:.2f}%"
                + (" (over fair share)" if tenant in ledger["over"] else "")
            )
