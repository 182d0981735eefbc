"""Command line of the soak test."""

import asyncio
import signal
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from benchmarks.soak.plan import Fault, plan_faults
from benchmarks.soak.run import SoakResult, run_soak

__all__ = ('Soak',)

_EXIT_FINDINGS = 1


@cappa.command(name='benchmarks.soak')
@dataclass
class Soak:
    """Run the platform's programs under random faults.

    Exit code 1 means that an invariant was violated.
    """

    seed: Annotated[int, cappa.Arg(long=True, help='First seed.')] = 1
    seeds: Annotated[
        int, cappa.Arg(long=True, help='Number of consecutive seeds.')
    ] = 1
    length: Annotated[
        float, cappa.Arg(long=True, help='Seconds of load for each seed.')
    ] = 25
    keep: Annotated[
        str, cappa.Arg(long=True, help='Directory for logs and charts.')
    ] = ''

    def __call__(self) -> None:
        """Run one seed after another."""
        results = [
            self._run(seed) for seed in range(self.seed, self.seed + self.seeds)
        ]
        if any(result.findings for result in results):
            raise cappa.Exit(code=_EXIT_FINDINGS)

    def _run(self, seed: int) -> SoakResult:
        faults = plan_faults(seed, self.length)
        print(f'seed {seed}', *faults, sep='\n', flush=True)
        if self.keep:
            directory = Path(self.keep) / f'seed-{seed}'
            directory.mkdir(parents=True, exist_ok=True)
            result = asyncio.run(
                self._run_in_directory(directory, seed, faults)
            )
        else:
            with tempfile.TemporaryDirectory() as name:
                result = asyncio.run(
                    self._run_in_directory(Path(name), seed, faults)
                )
        print(
            f'seed {seed}: {result.faults} faults, {result.submitted} jobs '
            f'submitted, {result.accepted} accepted, {result.completed} '
            f'completed, {result.starts} starts, '
            f'{len(result.findings)} findings',
            flush=True,
        )
        return result

    async def _run_in_directory(
        self, directory: Path, seed: int, faults: tuple[Fault, ...]
    ) -> SoakResult:
        task = asyncio.current_task()
        if task is not None:
            # Cancelling the run also stops the processes that it has started.
            asyncio.get_running_loop().add_signal_handler(
                signal.SIGTERM, task.cancel
            )
        return await run_soak(seed, faults, self.length, directory)


if __name__ == '__main__':
    cappa.invoke(Soak)
