"""Embed beryltiller's admission queue in a worker that is fair to its callers.

One worker runs the jobs of several callers one at a time. The queue selects the next
job, the records keep the reason, and `explain` returns it as text. The example needs
no proxy, network or clock: the program passes the time in as a number.

    python examples/fair_worker.py
"""

from collections.abc import Iterator

from beryltiller import (
    AdmissionQueue,
    AdmissionRecords,
    Grant,
    Kind,
    Outcome,
    Ticket,
    explain,
)

_JOB_SECONDS = 0.010
_DEADLINE_SECONDS = 5.0
_WORKERS = 1


class FairWorker:
    """A worker that runs one job at a time, and serves the least served caller next."""

    def __init__(self) -> None:
        """Create an idle worker at time 0."""
        self._now = 0.0
        self._queue = AdmissionQueue()
        self._records = AdmissionRecords(capacity=64)

    def submit(self, job: str, caller: str) -> None:
        """Queue a job; raise ValueError with the reason if it is refused."""
        deadline = self._now + _DEADLINE_SECONDS
        ticket = Ticket(job, caller, Kind.WRITE, deadline)
        rejection = self._queue.offer(ticket, self._now, _WORKERS)
        if rejection is not None:
            raise ValueError(str(rejection.refusal))

    def run(self) -> Iterator[str]:
        """Run all queued jobs and yield the name of each as it starts."""
        while isinstance(grant := self._queue.take(self._now, _WORKERS), Grant):
            yield grant.ticket.request_id
            index = self._records.record_grant("worker", grant, connection=1)
            self._now += _JOB_SECONDS
            self._queue.finish(grant, self._now, _JOB_SECONDS)
            self._records.record_outcome(index, Outcome.DONE, self._now)

    def explain_job(self, job: str) -> str:
        """Return the reason why a job ran when it did."""
        return explain(self._records, job, is_operator=True).text()


def main() -> None:
    """Run three jobs of one caller and, submitted last, a single job of another."""
    worker = FairWorker()
    for number in range(1, 4):
        worker.submit(f"export-{number}", caller="back-office")
    worker.submit("checkout", caller="counter")
    print("order:", *worker.run())
    print(worker.explain_job("export-2"))


if __name__ == "__main__":
    main()
