"""Attempts to send a request that an owner may have received."""

from attrs import define, field, frozen

__all__ = ["RequestAttempts"]


@frozen(kw_only=True, eq=False)
class _Attempt:
    """Hold one attempt: a local call, or a message that starts at a link's byte offset.

    `call_id` is the id that an answer to it names.
    """

    call_id: int
    link: object = None
    start_offset: int = 0


@define(kw_only=True, eq=False)
class RequestAttempts:
    """Track the attempts of one request that an owner may still execute."""

    _open: list = field(factory=list, init=False)

    def __bool__(self):
        return bool(self._open)

    def add(self, call_id, link=None):
        """Record an attempt right before it is made."""
        start_offset = link.sent_bytes if link is not None else 0
        self._open.append(
            _Attempt(call_id=call_id, link=link, start_offset=start_offset)
        )

    def on_not_owner(self, call_id):
        """Remove the last attempt with a call id: its receiver was not the owner."""
        for row in reversed(self._open):
            if row.call_id == call_id:
                self._open.remove(row)
                return

    def on_link_broken(self, link):
        """Remove the attempts that a link never began to send; return how many."""
        unsent = [
            row
            for row in self._open
            if row.link is link and link.written_bytes <= row.start_offset
        ]
        self._open = [row for row in self._open if row not in unsent]
        return len(unsent)
