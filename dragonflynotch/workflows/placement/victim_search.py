"""Search for the runs whose stop makes room for a step at the least loss.

Answers narrow runs that are spread over all workers while a gang of whole
workers waits. The cheapest runs of the fleet are then spread as well, and
stopping them frees a part of each worker and no whole one. So the search
compares, for each worker, what room for one, two or more tasks costs there.
"""

import heapq
from collections.abc import Iterable, KeysView, Mapping, Sequence
from dataclasses import dataclass

from dragonflynotch.workflows.placement.step_fit import StepFit
from dragonflynotch.workflows.placement.workers import Allocation
from dragonflynotch.workflows.resources import Resources

__all__ = ('Victim', 'VictimSearch')


_NOTHING = Resources()
# A stop of a task that was stopped before counts this many times more.
_REPEAT_PENALTY = 1
# Key of the sum over all minions.
_TOTAL = ''


class Victim:
    """A run, or all runs of a gang, which can only be stopped together.

    Parameters
    ----------
    key : str
        Group of the runs.

    Attributes
    ----------
    cost : float
        Work lost if these runs are stopped, in core seconds.
    weight : float
        The same, higher for tasks that were stopped for room before.
    """

    def __init__(self, key: str) -> None:
        """Create a victim without runs."""
        self.key = key
        self.cost: float = 0
        self.weight: float = 0
        self.members: list[tuple[str, Allocation]] = []
        self._needs: dict[str, Resources] = {}

    @property
    def minion_ids(self) -> KeysView[str]:
        """Minions that the runs are on."""
        return self._needs.keys()

    def add(self, minion_id: str, run: Allocation) -> None:
        """Add a run."""
        self.members.append((minion_id, run))
        self.cost += run.preemption_cost
        self.weight += run.preemption_cost * (
            1 + _REPEAT_PENALTY * run.preemptions
        )
        self._needs[minion_id] = self.needs_on(minion_id) + run.needs

    def needs_on(self, minion_id: str) -> Resources:
        """Return what the runs hold on a minion."""
        return self._needs.get(minion_id, _NOTHING)


@dataclass(frozen=True, slots=True)
class _Option:
    """Victims that make room for some tasks."""

    cost: float
    fits: int
    victims: tuple[Victim, ...]

    @property
    def sort_key(self) -> tuple[float, float]:
        """Least work lost for each task that fits, then least in total."""
        return (self.cost / self.fits, self.cost)


class VictimSearch:
    """Chooses victims by worker until a step fits.

    Parameters
    ----------
    free : dict
        Resources that the step may use, by minion, without victims. The search
        adds those of the victims.
    step_fit : StepFit
        Counts of what fits into ``free``.
    victims_by_minion : mapping
        Runs and gangs that may be stopped, by minion.
    """

    def __init__(
        self,
        free: dict[str, Resources],
        step_fit: StepFit,
        victims_by_minion: Mapping[str, Sequence[Victim]],
    ) -> None:
        """Create a search without chosen victims."""
        self._free = free
        self._step_fit = step_fit
        self._by_minion = victims_by_minion
        self._chosen: dict[str, Victim] = {}
        # What fits more on each minion if a gang alone is stopped.
        self._gang_fits: dict[str, dict[str, int]] = {}

    def choose(self) -> list[Victim]:
        """Return the victims that are needed for the step to fit, or none.

        Workers are taken in the order of the work lost for each task that
        then fits. What a choice costs is computed again for the workers that
        it changes only.
        """
        options: list[tuple[tuple[float, float], str]] = []
        self._add_options(options, self._free)
        while options and not self._step_fit.fits:
            sort_key, minion_id = heapq.heappop(options)
            option = self._best_option(minion_id)
            if option is None:
                continue
            if option.sort_key > sort_key:
                # The choices made since leave less to gain from this one.
                heapq.heappush(options, (option.sort_key, minion_id))
                continue
            touched: set[str] = set()
            for victim in option.victims:
                touched |= self._release(victim)
            if not self._step_fit.fits:
                self._add_options(options, touched)
        if not self._step_fit.fits:
            return []
        by_weight = sorted(self._chosen.values(), key=_by_weight)
        return self._drop_unneeded(reversed(by_weight))

    def choose_singly(self) -> list[Victim]:
        """Return the victims that are needed, the least work lost first."""
        victims = {
            victim.key: victim
            for held in self._by_minion.values()
            for victim in held
        }
        for candidate in sorted(victims.values(), key=_by_cost):
            self._release(candidate)
            if self._step_fit.fits:
                return self._drop_unneeded(reversed(self._chosen.values()))
        return []

    def _add_options(
        self,
        options: list[tuple[tuple[float, float], str]],
        minion_ids: Iterable[str],
    ) -> None:
        for minion_id in minion_ids:
            option = self._best_option(minion_id)
            if option is not None:
                heapq.heappush(options, (option.sort_key, minion_id))

    def _best_option(self, minion_id: str) -> _Option | None:
        """Return the option with the least work lost for each task."""
        missing = self._step_fit.missing
        fits_now = self._step_fit.count(minion_id)
        free = self._free[minion_id]
        best: _Option | None = None
        cost: float = 0
        elsewhere = 0
        taken: tuple[Victim, ...] = ()
        for victim in self._by_minion.get(minion_id, ()):
            if victim.key in self._chosen:
                continue
            taken += (victim,)
            cost += victim.weight
            free += victim.needs_on(minion_id)
            elsewhere += self._fits_elsewhere(victim, minion_id)
            fits = self._step_fit.count_in(free) - fits_now + elsewhere
            if fits <= 0:
                continue
            option = _Option(cost, min(fits, missing), taken)
            if best is None or option.sort_key < best.sort_key:
                best = option
            if fits >= missing:
                break
        return best

    def _fits_elsewhere(self, victim: Victim, minion_id: str) -> int:
        """Return how many more tasks fit on the other workers of a gang."""
        if len(victim.minion_ids) == 1:
            return 0
        fits = self._gang_fits.get(victim.key)
        if fits is None:
            fits = {
                other: self._step_fit.count_in(
                    self._free[other] + victim.needs_on(other)
                )
                - self._step_fit.count(other)
                for other in victim.minion_ids
                if other in self._free
            }
            fits[_TOTAL] = sum(fits.values())
            self._gang_fits[victim.key] = fits
        return fits[_TOTAL] - fits.get(minion_id, 0)

    def _release(self, victim: Victim) -> set[str]:
        """Add the resources of a victim to the free ones.

        Returns
        -------
        set of str
            Minions that the step may use and that changed.
        """
        self._chosen[victim.key] = victim
        self._gang_fits.clear()
        touched = {
            minion_id
            for minion_id in victim.minion_ids
            if minion_id in self._free
        }
        for minion_id in touched:
            self._free[minion_id] += victim.needs_on(minion_id)
            self._step_fit.update(minion_id)
        return touched

    def _undo_release(self, victim: Victim) -> None:
        for minion_id in victim.minion_ids:
            if minion_id in self._free:
                self._free[minion_id] -= victim.needs_on(minion_id)
                self._step_fit.update(minion_id)

    def _drop_unneeded(self, dearest_first: Iterable[Victim]) -> list[Victim]:
        """Return the chosen victims without which the step does not fit."""
        needed = []
        # Try to do without the most expensive ones first.
        for candidate in list(dearest_first):
            self._undo_release(candidate)
            if not self._step_fit.fits:
                self._release(candidate)
                needed.append(candidate)
        return needed


def _by_cost(victim: Victim) -> tuple[float, str]:
    return (victim.cost, victim.key)


def _by_weight(victim: Victim) -> tuple[float, str]:
    return (victim.weight, victim.key)
