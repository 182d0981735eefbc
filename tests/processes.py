"""Daemons as separate processes for failure tests."""

import asyncio
import os
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path


class LoopThread:
    """Event loop in a thread that runs the stand-ins of a test."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever)
        self._thread.start()

    def call(self, awaitable, limit_s=10):
        future = asyncio.run_coroutine_threadsafe(awaitable, self.loop)
        return future.result(limit_s)

    def close(self):
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(5)
        self.loop.close()


class DaemonProcess:
    """Daemon process that can be killed, suspended and terminated."""

    def __init__(self, module, settings_path, log_path):
        self._command = [sys.executable, '-m', module, str(settings_path)]
        self._log_path = log_path
        self._process = None

    @property
    def pid(self):
        return self._process.pid

    @property
    def is_running(self):
        return self._process is not None and self._process.poll() is None

    @property
    def log(self):
        return self._log_path.read_text()

    def start(self):
        with self._log_path.open('ab') as log:
            self._process = subprocess.Popen(
                self._command,
                stdout=log,
                stderr=log,
                env={**os.environ, 'PYTHONHASHSEED': '0'},
            )

    def kill(self):
        self._signal(signal.SIGKILL)
        self._process.wait(5)

    def suspend(self):
        self._signal(signal.SIGSTOP)

    def resume(self):
        self._signal(signal.SIGCONT)

    def terminate(self):
        self._signal(signal.SIGTERM)

    def wait(self, limit_s=15):
        return self._process.wait(limit_s)

    def close(self):
        if self.is_running:
            self.resume()
            self.kill()

    def resident_mb(self):
        status = Path(f'/proc/{self.pid}/status').read_text()
        line = next(
            line for line in status.splitlines() if line.startswith('VmRSS')
        )
        return int(line.split()[1]) / 1024

    def _signal(self, signal_number):
        if self.is_running:
            self._process.send_signal(signal_number)


def wait_until(condition, limit_s=10, message='condition'):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.02)
    raise AssertionError(f'{message} did not hold within {limit_s} s')
