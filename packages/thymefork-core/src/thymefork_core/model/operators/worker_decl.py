"""WorkerDecl: declare a worker with its place, its resources and its endpoint."""

from attrs import frozen

from ..resources import Resources

__all__ = ["WorkerDecl"]


@frozen(kw_only=True)
class WorkerDecl:
    """Declare a worker with its place, its resources and its endpoint."""

    name: str
    hall: str
    rack: str
    resources: Resources
