"""Workers of a data centre and the racks that hold them."""

from dataclasses import dataclass

__all__ = ('Worker',)


@dataclass(frozen=True, slots=True)
class Worker:
    """Machine with accelerators.

    Parameters
    ----------
    worker_id : str
        Unique identifier.
    rack : str
        Rack that holds the worker.
    rack_position : int
        Position of the rack in the data centre; racks whose positions differ
        by one are adjacent.
    accelerators : int
        Number of accelerators.
    cores : int
        Number of CPU cores.
    memory_mb : int
        Memory in MiB.
    """

    worker_id: str
    rack: str
    rack_position: int
    accelerators: int
    cores: int
    memory_mb: int
