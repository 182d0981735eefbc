"""Command line of the policy benchmark."""

from dataclasses import dataclass
from typing import Annotated, Literal

import cappa
import msgspec

from benchmarks.policy.comparison import POLICIES, run_policy
from benchmarks.policy.report import judge, render
from benchmarks.policy.results import PolicyResult
from benchmarks.policy.workloads import WorkloadSettings, generate

__all__ = ('PolicyBenchmark',)


@cappa.command(name='benchmarks.policy')
@dataclass
class PolicyBenchmark:
    """Compare scheduling policies on the same generated arrivals."""

    workload: Annotated[
        Literal['tavua', 'ravi'], cappa.Arg(long=True, help='Workload.')
    ]
    seed: Annotated[int, cappa.Arg(long=True, help='First seed.')] = 1
    seeds: Annotated[
        int, cappa.Arg(long=True, help='Number of consecutive seeds.')
    ] = 1
    hours: Annotated[
        float, cappa.Arg(long=True, help='Time during which jobs arrive.')
    ] = 24
    load: Annotated[
        float, cappa.Arg(long=True, help='Offered load, 1 is all workers.')
    ] = 0.85
    faults: Annotated[
        Literal['on', 'off'], cappa.Arg(long=True, help='Whether workers fail.')
    ] = 'on'
    policies: Annotated[
        str, cappa.Arg(long=True, help='Policies, separated by commas.')
    ] = ','.join(POLICIES)
    json: Annotated[
        bool, cappa.Arg(long=True, help='Print JSON instead of tables.')
    ] = False

    def __call__(self) -> None:
        """Replay the workload with each policy and print the report."""
        names = self.policies.split(',')
        unknown = [name for name in names if name not in POLICIES]
        if unknown or self.seeds < 1:
            raise cappa.Exit(
                f'unknown policies {unknown!r} or seeds < 1: {self.seeds!r}',
                code=2,
            )
        results: dict[str, list[PolicyResult]] = {name: [] for name in names}
        for seed in range(self.seed, self.seed + self.seeds):
            trace = generate(self._settings(seed))
            for name, policy_results in results.items():
                policy_results.append(run_policy(name, trace))
        if self.json:
            print(self._encode_report(results))
        else:
            print(render(self.workload, results))

    def _settings(self, seed: int) -> WorkloadSettings:
        return WorkloadSettings(
            self.workload, seed, self.hours, self.load, self.faults == 'on'
        )

    def _encode_report(self, results: dict[str, list[PolicyResult]]) -> str:
        report = {
            'workload': self.workload,
            'seed': self.seed,
            'seeds': self.seeds,
            'hours': self.hours,
            'load': self.load,
            'faults': self.faults,
            'results': results,
            'targets': judge(self.workload, results),
        }
        return msgspec.json.encode(report).decode()


if __name__ == '__main__':
    cappa.invoke(PolicyBenchmark)
