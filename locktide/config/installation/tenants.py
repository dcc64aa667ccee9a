"""`[[tenant]]`: tenants and their quotas."""

from __future__ import annotations

from typing import Annotated

from locktide.config.toml_reader import Section, key


class TenantSection(Section):
    """`[[tenant]]`: one tenant; its rate is in requests per second."""

    name: Annotated[str, key("as in the extras of a submission", pattern="^[!-+.-<>-~]{1,64}$")]
    rate: Annotated[float, key("submissions a second that it may ask of all dispatchers", ge=0)]
    weight: Annotated[float, key("its share of a contended fleet, beside others'", gt=0, le=1000)] = 1.0
