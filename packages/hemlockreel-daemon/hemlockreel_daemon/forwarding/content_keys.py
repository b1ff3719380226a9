"""Keys of requests with the same content.

A request that is sent again has another id, and may come to another host, but
has the same content. The keys go from the general to the particular: the path
and body alone, with the query, and with the caller. So a request that fails
for one caller only doesn't affect the same one of others, and one that is sent
by many callers is recognised nevertheless.
"""

import xxhash

from hemlockreel.forwarding import blocked_parts

from . import interfaces

SEPARATOR = b"\0"


def find(request: interfaces.CallerRequest) -> tuple[str, ...]:
    """Returns the keys of ``request``, the most particular one last."""
    demand = request.demand
    prompt = () if demand is None else (*demand.shared_parts, demand.own_part)
    digest = xxhash.xxh3_128()
    for each in (request.method, request.host.lower(), request.path, *prompt):
        digest.update(each.encode("latin-1", "replace") + SEPARATOR)
    digest.update(request.body + SEPARATOR)
    found = [digest.hexdigest()]
    if request.target != request.path:
        digest.update(request.target.encode("latin-1", "replace") + SEPARATOR)
        found.append(digest.hexdigest())
    digest.update(request.caller.encode("latin-1", "replace"))
    found.append(digest.hexdigest())
    return tuple(blocked_parts.REQUEST_PREFIX + each for each in found)
