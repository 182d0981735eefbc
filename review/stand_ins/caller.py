"""Caller that also hands in jobs that run several times."""

import time

from dragonflynotch.testing.site_caller import Answer, SiteCaller


class ReviewCaller(SiteCaller):
    """The project's stand-in, also for jobs that run several times."""

    async def submit_repeated(
        self,
        queue: str,
        job_id: str,
        steps: list[dict[str, object]],
        times: int,
    ) -> Answer:
        """Submit a job whose steps run ``times`` times, 2 s apart."""
        body = {
            'spec': 'text',
            'steps': steps,
            'repetitions': times,
            'first_run_ms': int(time.time() * 1000) + 1000,
            'interval_ms': 2000,
        }
        return await self._call('POST', f'/{queue}/{job_id}', body)
