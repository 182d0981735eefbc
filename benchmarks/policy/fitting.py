"""Where the baselines place a gang on the free capacity."""

from abc import ABC, abstractmethod
from collections.abc import Iterable

from benchmarks.policy.capacity import (
    NO_WORKERS,
    Capacity,
    Domain,
    FreeWorker,
)
from dragonflynotch.core.jobs import JobSpec, Member

__all__ = ('BestFit', 'FirstFit', 'Fit')


class Fit(ABC):
    """Chooses the members of a gang."""

    def place(
        self,
        spec: JobSpec,
        capacity: Capacity,
        excluded: frozenset[str] = NO_WORKERS,
    ) -> tuple[Member, ...]:
        """Return the members of a gang, or nothing if it does not fit.

        Parameters
        ----------
        spec : JobSpec
            Shape and size of the job.
        capacity : Capacity
            What is free.
        excluded : frozenset of str
            Workers that must not be used.

        Returns
        -------
        tuple of Member
            One member for each worker used.
        """
        fitting = [
            domain
            for domain in capacity.domains(spec.shape.proximity, excluded)
            if _count_usable(domain, spec) >= spec.shape.accelerators
        ]
        if not fitting:
            return ()
        domain = self._choose(fitting, spec)
        return _fill(self._order(domain, spec), spec)

    @abstractmethod
    def _choose(self, domains: list[Domain], spec: JobSpec) -> Domain:
        """Return one of the domains that fit."""

    @abstractmethod
    def _order(self, domain: Domain, spec: JobSpec) -> Domain:
        """Return the workers in the order in which they are filled."""


class FirstFit(Fit):
    """The first place in the order of racks and workers."""

    def _choose(self, domains: list[Domain], spec: JobSpec) -> Domain:
        return domains[0]

    def _order(self, domain: Domain, spec: JobSpec) -> Domain:
        return domain


class BestFit(Fit):
    """The place with the least free capacity, fullest workers first."""

    def _choose(self, domains: list[Domain], spec: JobSpec) -> Domain:
        return min(domains, key=lambda domain: _count_usable(domain, spec))

    def _order(self, domain: Domain, spec: JobSpec) -> Domain:
        return tuple(sorted(domain, key=lambda entry: entry.count_usable(spec)))


def _count_usable(domain: Iterable[FreeWorker], spec: JobSpec) -> int:
    return sum(entry.count_usable(spec) for entry in domain)


def _fill(domain: Domain, spec: JobSpec) -> tuple[Member, ...]:
    missing = spec.shape.accelerators
    members: list[Member] = []
    for entry in domain:
        count = min(missing, entry.count_usable(spec))
        if count:
            members.append(
                Member(entry.worker.worker_id, entry.accelerators[:count])
            )
            missing -= count
    return tuple(members)
