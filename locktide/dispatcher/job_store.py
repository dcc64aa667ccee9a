"""What a node asks of whoever keeps jobs durably; without one it asks nothing."""

from __future__ import annotations

from typing import Protocol

from locktide.dispatcher.records import OpenDispatch, OpenSubmission


class Keeper(Protocol):
    """Joined to a node by `Node.join`; also stands between its server and it, as the server's desk."""

    def keeps(self, held: OpenSubmission) -> bool: ...

    async def lease(self, held: OpenSubmission, dispatch: OpenDispatch) -> bool:
        """Before the first byte of a dispatch; whether it may go out."""

    def ended(self, held: OpenSubmission, dispatch: OpenDispatch) -> None:
        """A dispatch has its outcome."""
