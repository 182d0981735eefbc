"""Placement strategies of the baselines: first fit and best fit."""

from abc import ABC, abstractmethod
from collections.abc import Iterable

from benchmarks.policy.capacity import (
    NO_WORKERS,
    Capacity,
    Domain,
    WorkerCapacity,
)
from dragonflynotch.core.jobs import JobSpec, Member

__all__ = ('BestFit', 'FirstFit', 'Fit')


class Fit(ABC):
    """Strategy that places the members of a gang on free capacity."""

    def place(
        self,
        spec: JobSpec,
        capacity: Capacity,
        excluded: frozenset[str] = NO_WORKERS,
    ) -> tuple[Member, ...]:
        """Return the members of a gang, or an empty tuple if it does not fit.

        Parameters
        ----------
        spec : JobSpec
            Shape of the job and its cores and memory per accelerator.
        capacity : Capacity
            Free capacity.
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
        domain = self._choose_domain(fitting, spec)
        return _assign_members(self._sort_workers(domain, spec), spec)

    @abstractmethod
    def _choose_domain(self, domains: list[Domain], spec: JobSpec) -> Domain:
        """Return the domain to use, out of those in which the gang fits."""

    @abstractmethod
    def _sort_workers(self, domain: Domain, spec: JobSpec) -> Domain:
        """Return the workers in the order in which to fill them."""


class FirstFit(Fit):
    """Uses the first domain that fits, in the order of racks and workers."""

    def _choose_domain(self, domains: list[Domain], spec: JobSpec) -> Domain:
        return domains[0]

    def _sort_workers(self, domain: Domain, spec: JobSpec) -> Domain:
        return domain


class BestFit(Fit):
    """Uses the domain with the least usable capacity, fullest workers first."""

    def _choose_domain(self, domains: list[Domain], spec: JobSpec) -> Domain:
        return min(domains, key=lambda domain: _count_usable(domain, spec))

    def _sort_workers(self, domain: Domain, spec: JobSpec) -> Domain:
        return tuple(sorted(domain, key=lambda entry: entry.count_usable(spec)))


def _count_usable(domain: Iterable[WorkerCapacity], spec: JobSpec) -> int:
    return sum(entry.count_usable(spec) for entry in domain)


def _assign_members(domain: Domain, spec: JobSpec) -> tuple[Member, ...]:
    unassigned = spec.shape.accelerators
    members: list[Member] = []
    for entry in domain:
        count = min(unassigned, entry.count_usable(spec))
        if count:
            members.append(
                Member(entry.worker.worker_id, entry.accelerators[:count])
            )
            unassigned -= count
    return tuple(members)
