"""The exception tree; each error carries the step and the peer it arose at."""

__all__ = [
    "ConfigError",
    "ConflictError",
    "LogUnavailableError",
    "ProtocolError",
    "SettingsError",
    "ThymeforkError",
]


class ThymeforkError(Exception):
    """Carry a message with the step and the peer at which it arose."""

    def __init__(self, message, *, step, peer=""):
        super().__init__(message)
        self.step = step
        self.peer = peer

    def __str__(self):
        """Name the step and the peer in front of the message."""
        place = f"{self.step}@{self.peer}" if self.peer else self.step
        return f"[{place}] {super().__str__()}"


class SettingsError(ThymeforkError):
    """Refuse a process settings file."""


class ConfigError(ThymeforkError):
    """Refuse an operators' file."""


class ConflictError(ThymeforkError):
    """Tell an operator that another version was applied first."""


class LogUnavailableError(ThymeforkError):
    """Tell that the platform's log can't be reached."""


class ProtocolError(ThymeforkError):
    """Refuse bytes that are no valid message."""
