"""Which owners may have taken a request."""

from attrs import define, field, frozen

__all__ = ["RequestAttempts"]


@frozen(kw_only=True, eq=False)
class _Try:
    """Hold one handing over: on a link, where it begins after so many bytes, or here.

    `number` is the one that an answer to it names.
    """

    number: int
    link: object = None
    from_bytes: int = 0


@define(kw_only=True, eq=False)
class RequestAttempts:
    """Follow the tries of one request that an owner may have taken, or may yet."""

    _open: list = field(factory=list, init=False)

    def __bool__(self):
        return bool(self._open)

    def add(self, number, link=None):
        """Note a try right before it is made."""
        from_bytes = link.sent_bytes if link is not None else 0
        self._open.append(_Try(number=number, link=link, from_bytes=from_bytes))

    def on_not_owner(self, number):
        """Drop the last try of a number: whom it reached has not taken it."""
        for row in reversed(self._open):
            if row.number == number:
                self._open.remove(row)
                return

    def on_link_broken(self, link):
        """Drop the tries that a link never began to send; return how many."""
        unsent = [
            row
            for row in self._open
            if row.link is link and link.written_bytes <= row.from_bytes
        ]
        self._open = [row for row in self._open if row not in unsent]
        return len(unsent)
