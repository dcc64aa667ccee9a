"""`[[tenant]]`: tenants and their quotas."""

from __future__ import annotations

from typing import Annotated

from locktide.config.toml_reader import Section, key


class TenantSection(Section):
    """`[[tenant]]`: one tenant; its rate is in requests per second."""

    name: Annotated[str, key("name, as in the Req-Extra field of a request", pattern="^[!-+.-<>-~]{1,64}$")]
    rate: Annotated[float, key("requests per second that it may send to all dispatchers together", ge=0)]
    weight: Annotated[float, key("weight of its share of a contended fleet", gt=0, le=1000)] = 1.0
