"""The state of calls that are in progress in the simulation.

A caller that is refused may try again later, which is a new try with a new
request id. Within a try, the entry makes up to two attempts.
"""

from hemlockreel import decisions
from hemlockreel import declared_objects
from hemlockreel import messages

from . import workload


class Job:
    """One attempt at a try of a call.

    ``tries`` counts the earlier tries, ``attempt`` starts at 1.
    """

    def __init__(self, call: workload.Call, submitted_at: float, tries: int):
        self.call = call
        self.submitted_at = submitted_at
        self.tries = tries
        self.attempt = 1
        self.grant: decisions.Granted | None = None
        self.prefill_tokens = 0
        self.handle = ""
        self.first_at: float | None = None
        self.is_finished = False

    @property
    def name(self) -> str:
        """The request id of this try."""
        return f"{self.call.request_id}.{self.tries}"


def make_admission_request(
    job: Job, pool: declared_objects.ModelPool, now: float
) -> messages.AdmissionRequest:
    """Returns the admission request that the entry sends to the owner."""
    call = job.call
    deadline_s = pool.first_token_ms / 1000 - (now - job.submitted_at)
    if call.klass == "deferrable":
        deadline_s = pool.deferrable_wait_s
    return messages.AdmissionRequest(
        sender="entry",
        epoch=1,
        request_id=job.name,
        attempt=job.attempt,
        shard="lesar@midt-norge/0",
        organisation=call.organisation,
        priority_class=call.klass,
        prompt_tokens=call.prompt_tokens,
        output_tokens=call.max_tokens,
        prefixes=list(call.prefixes),
        deadline_s=max(deadline_s, 0.001),
    )
