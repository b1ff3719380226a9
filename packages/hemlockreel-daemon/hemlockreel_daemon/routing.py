"""Checks a caller's request against the active configuration.

These checks run on a worker thread with the configuration that the loop last
activated. The loop repeats those that depend on its own state.
"""

from hemlockreel import configuration
from hemlockreel import declared_objects
from hemlockreel import outcomes
from hemlockreel import prefix_hashes

from . import completion_handler

RETRY_AFTER_S = 1.0

_NOT_CONFIGURED = outcomes.not_run(
    outcomes.Reason.NOT_CONFIGURED, RETRY_AFTER_S
)


def apply_pool_limits(
    active: configuration.Configuration | None, job: completion_handler.Job
) -> completion_handler.Job | outcomes.Refused:
    """Returns ``job`` with the defaults and limits of its model's pool.

    They apply to the priority class, the number of tokens and the deadline.
    """
    if active is None:
        return _NOT_CONFIGURED
    for pool in active.modelpools.values():
        if pool.model == job.model:
            return _apply_limits(pool, job)
    detail = f"no pool serves the model {job.model!r}"
    return outcomes.not_run(outcomes.Reason.UNKNOWN_MODEL, detail=detail)


def _apply_limits(
    pool: declared_objects.ModelPool, job: completion_handler.Job
) -> completion_handler.Job | outcomes.Refused:
    tokens = prefix_hashes.count_tokens(job.prompt)
    if tokens > pool.max_prompt_tokens:
        detail = (
            f"the prompt has {tokens} tokens, "
            f"the pool takes {pool.max_prompt_tokens}"
        )
        return outcomes.not_run(outcomes.Reason.PROMPT_TOO_LONG, detail=detail)
    priority_class = job.priority_class or pool.default_class
    deadline_s = job.deadline_s or pool.first_token_ms / 1000
    if priority_class == "deferrable" and not job.deadline_s:
        deadline_s = pool.deferrable_wait_s
    limit = pool.max_output_tokens
    return job._replace(
        priority_class=priority_class,
        max_tokens=min(job.max_tokens or limit, limit),
        deadline_s=deadline_s,
        priority=0 if priority_class == "deferrable" else job.priority,
    )


def find_route(
    active: configuration.Configuration | None, path: str
) -> declared_objects.Route | outcomes.Refused:
    """Returns the route that matches ``path``."""
    if active is None:
        return _NOT_CONFIGURED
    if any(part in (".", "..") for part in path.split("/")):
        # A backend server could resolve it to a path outside of the route.
        detail = f"the path {path!r} has dot segments"
        return outcomes.not_run(outcomes.Reason.BAD_REQUEST, detail=detail)
    route = configuration.match_route(active, path)
    if route is None:
        detail = f"no route matches {path!r}"
        return outcomes.not_run(outcomes.Reason.UNKNOWN_ROUTE, detail=detail)
    return route
