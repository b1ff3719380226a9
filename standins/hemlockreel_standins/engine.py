"""Serves the engine protocol over HTTP in front of a simulated engine.

The protocol is described in docs/design/protocols.md. The text of a token
depends only on the request's id and the token's offset. A test can therefore
compute the expected completion and detect tokens that are missing, repeated or
of another request.
"""

import argparse
from collections.abc import Iterator
import json
import threading
import time
from typing import Any

import urllib3

from hemlockreel import prefix_hashes

from . import engine_model
from . import server

TICK_S = 0.002  # interval at which the engine model advances
IMPORT_TIMEOUT_S = 60.0


def token_text(request_id: str, offset: int) -> str:
    """Returns the token at ``offset`` of the completion of ``request_id``.

    >>> token_text("r1", 3)
    'r1:3 '
    """
    return f"{request_id}:{offset} "


def completion_text(request_id: str, tokens: int) -> str:
    """Returns the complete text of ``tokens`` tokens for ``request_id``."""
    return "".join(token_text(request_id, offset) for offset in range(tokens))


def _error(status: int, reason: str) -> server.Response:
    return server.Response(status, {"error": reason})


class EngineStandIn(server.StandIn):
    """Serves the engine protocol in front of an engine model.

    ``fencing`` tells whether orders with a stale fencing number are rejected.
    The fault switches that are specific to an engine:

    - ``cut_after_tokens``, ``mute_after_tokens``: the next stream that has
      sent this many tokens is cut, or sends nothing more; 0 is off.
    - ``skip_token``, ``repeat_answer``: the next line of a stream is left out
      (unless it is the first token), or sent twice.
    - ``wrong_id``: a line of another request is sent before the next line.
    - ``lose_answers``: the number of cancels and orders that take effect but
      get no response.
    - ``drop_cancels``: cancels are acknowledged, but have no effect.
    - ``slow_factor``: multiplies the duration of prefills and decode steps.
    - ``link_bytes_per_s``: replaces the rate of the transfer link; 0 is off.
    - ``lose_cache_events``: pending cache events are dropped.
    - ``memory_full``: the number of decodes to reject with 507.
    """

    faults = {
        "cut_after_tokens": 0,
        "mute_after_tokens": 0,
        "skip_token": False,
        "wrong_id": False,
        "repeat_answer": False,
        "lose_answers": 0,
        "drop_cancels": False,
        "slow_factor": 1.0,
        "link_bytes_per_s": 0.0,
        "lose_cache_events": False,
        "memory_full": 0,
    }

    def __init__(
        self,
        role: str = "decode",
        models: tuple[str, ...] = ("lesar-7b",),
        settings: engine_model.Settings | None = None,
        fencing: bool = True,
    ):
        super().__init__()
        settings = settings or engine_model.Settings()
        self.model = engine_model.Engine(role, settings)
        self.models = list(models)
        self.version = "1"
        self.adapters: list[str] = []
        self.fencing = fencing
        self.fence = 0
        self._orders: list[dict[str, Any]] = []
        self._runs: list[dict[str, Any]] = []
        self._changed = threading.Condition(self.lock)
        self._prefilled: dict[str, Any] = {}
        self._frozen_s = 0.0
        self._pool = urllib3.PoolManager(retries=False)
        threading.Thread(target=self._run_model, daemon=True).start()

    def journal(self) -> Any:
        """Returns the orders and the decodes, each in order of execution."""
        with self.lock:
            return {"orders": list(self._orders), "runs": list(self._runs)}

    def respond(self, request: server.Request) -> server.Response:
        """Returns the response to a call of the engine protocol."""
        route = (request.method, request.path)
        if request.path.startswith("/v1/kv/") and request.method == "GET":
            return self._export(request.path.removeprefix("/v1/kv/"))
        calls = {
            ("POST", "/v1/prefill"): self._prefill,
            ("POST", "/v1/decode"): self._decode,
            ("POST", "/v1/cancel"): self._cancel,
            ("POST", "/v1/orders"): self._order,
            ("GET", "/v1/requests"): self._list_requests,
            ("GET", "/v1/load"): self._load,
            ("GET", "/v1/cache/events"): self._cache_events,
        }
        call = calls.get(route)
        return _error(404, "no such path") if call is None else call(request)

    def now(self) -> float:
        """Returns the model's time in seconds, which excludes past freezes."""
        return time.monotonic() - self._frozen_s

    def _run_model(self) -> None:
        while not self.closing.wait(TICK_S):
            if self.faults["freeze"]:
                self._wait_while_frozen()
            with self._changed:
                self.model.slow_factor = self.faults["slow_factor"]
                if self._advance():
                    self._changed.notify_all()

    def _wait_while_frozen(self) -> None:
        started = time.monotonic()
        while self.faults["freeze"] and not self.closing.wait(TICK_S):
            continue
        self._frozen_s += time.monotonic() - started

    def _advance(self) -> bool:
        """Advances the model to now; returns whether any event was due."""
        if self.model.next_at() > self.now():
            return False
        for event in self.model.advance(self.now()):
            if event.kind == "prefill":
                self._prefilled[event.detail.handle] = event.detail
        return True

    def _prefill(self, request: server.Request) -> server.Response:
        body = request.json()
        prompt = body["prompt"]
        if self.model.role != "prefill":
            return _error(409, "wrong_role")
        with self._changed:
            handle = self.model.prefill(
                body["request_id"],
                body["attempt"],
                prefix_hashes.count_tokens(prompt),
                prefix_hashes.hash_blocks(prompt),
                body.get("priority", 0),
                self.now(),
            )
            while handle not in self._prefilled:
                if self.closing.is_set():
                    return server.DROP
                if not self._has_request(body["request_id"]):
                    return _error(409, "cancelled")
                self._changed.wait(1.0)
            done = self._prefilled.pop(handle)
        result = {
            "request_id": body["request_id"],
            "attempt": body["attempt"],
            "handle": handle,
            "prompt_tokens": done.prompt_tokens,
            "cached_tokens": done.cached_tokens,
        }
        return server.Response(200, result)

    def _has_request(self, request_id: str) -> bool:
        held = self.model.requests()
        return any(found["request_id"] == request_id for found in held)

    def _export(self, handle: str) -> server.Response:
        with self.lock:
            rate = self.faults["link_bytes_per_s"]
            export = self.model.export(handle, self.now(), rate)
        if export is None:
            return _error(404, "evicted")
        self.wait(lambda: self.now() >= export.ends_at)
        body = {"bytes": export.bytes, "prompt_tokens": export.prompt_tokens}
        return server.Response(200, body)

    def _decode(self, request: server.Request) -> server.Response:
        body = request.json()
        request_id = body["request_id"]
        if body.get("offset", 0) > 0:
            return self._resume(body)
        if self.model.role != "decode":
            return _error(409, "wrong_role")
        if self.consume_fault("memory_full"):
            return _error(507, "memory_full")
        with self.lock:
            reserved = self.model.reserve(
                request_id,
                body["attempt"],
                body["prompt_tokens"],
                body["max_tokens"],
                body.get("priority", 0),
            )
            reservation = self.model.sequences.get(request_id)
        if not reserved:
            return _error(507, "memory_full")
        if not self._fetch_kv_cache(body["source"], body["handle"]):
            with self.lock:
                if self.model.sequences.get(request_id) is reservation:
                    self.model.cancel(request_id, self.now())
            return _error(409, "evicted")
        with self._changed:
            if self.model.sequences.get(request_id) is not reservation:
                return _error(409, "cancelled")
            self.model.start(request_id, self.now())
            self._runs.append(
                {"request_id": request_id, "attempt": body["attempt"]}
            )
        return server.Response(200, self._stream(body))

    def _fetch_kv_cache(self, source: str, handle: str) -> bool:
        url = f"http://{source}/v1/kv/{handle}"
        try:
            response = self._pool.request(
                "GET", url, timeout=IMPORT_TIMEOUT_S, retries=False
            )
        except urllib3.exceptions.HTTPError:
            return False
        return response.status == 200

    def _resume(self, body: dict[str, Any]) -> server.Response:
        with self.lock:
            if self.model.generated_tokens(body["request_id"]) < 0:
                return _error(404, "unknown_request")
        return server.Response(200, self._stream(body))

    def _stream(self, body: dict[str, Any]) -> Iterator[bytes | None]:
        """Yields a line per token, from the requested offset to the end.

        A final ``None`` makes the server cut the connection.
        """
        request_id = body["request_id"]
        offset = body.get("offset", 0)
        sent = 0
        while offset < body["max_tokens"]:
            with self._changed:
                while (
                    0
                    <= (generated := self.model.generated_tokens(request_id))
                    <= offset
                ):
                    if self.closing.is_set():
                        yield None
                        return
                    self._changed.wait(1.0)
            if generated < 0:
                yield None  # The request was cancelled.
                return
            while offset < min(generated, body["max_tokens"]):
                if self._should_cut(sent):
                    yield None
                    return
                if self._should_go_silent(sent):
                    self.wait(lambda: False)
                    yield None
                    return
                yield from self._encode_lines(body, offset)
                offset += 1
                sent += 1

    def _should_cut(self, sent: int) -> bool:
        return self._consume_fault_after("cut_after_tokens", sent)

    def _should_go_silent(self, sent: int) -> bool:
        return self._consume_fault_after("mute_after_tokens", sent)

    def _consume_fault_after(self, fault: str, sent: int) -> bool:
        """Returns whether ``sent`` reaches the limit of a switched-on fault.

        The switch is then reset, so that the fault occurs once.
        """
        with self.lock:
            limit = self.faults[fault]
            if not limit or sent < limit:
                return False
            self.faults[fault] = 0
            return True

    def _encode_lines(
        self, body: dict[str, Any], offset: int
    ) -> Iterator[bytes]:
        request_id = body["request_id"]
        line = {
            "request_id": request_id,
            "attempt": body["attempt"],
            "offset": offset,
            "text": token_text(request_id, offset),
            "done": offset + 1 == body["max_tokens"],
        }
        if self.consume_fault("wrong_id"):
            other = f"other-{request_id}"
            stray = {
                **line,
                "request_id": other,
                "text": token_text(other, offset),
            }
            yield json.dumps(stray).encode() + b"\n"
        data = json.dumps(line).encode() + b"\n"
        if offset > 0 and self.consume_fault("skip_token"):
            return
        yield data
        if self.consume_fault("repeat_answer"):
            yield data

    def _cancel(self, request: server.Request) -> server.Response:
        request_id = request.json()["request_id"]
        if self.faults["drop_cancels"]:
            return server.Response(
                200, {"request_id": request_id, "held": True}
            )
        with self._changed:
            self.model.cancel(request_id, self.now())
            self._changed.notify_all()
        if self.consume_fault("lose_answers"):
            return server.DROP
        return server.Response(200, {"request_id": request_id, "held": False})

    def _order(self, request: server.Request) -> server.Response:
        body = request.json()
        with self._changed:
            if self.fencing and body["fence"] < self.fence:
                return _error(409, "stale_fence")
            current = self._describe()
            for field, value in (body.get("expected") or {}).items():
                if current.get(field) != value:
                    return _error(412, "unexpected_state")
            self.fence = max(self.fence, body["fence"])
            self._apply(body["order"], body["value"])
            self._orders.append(body)
            self._changed.notify_all()
        if self.consume_fault("lose_answers"):
            return server.DROP
        done = {"done": True, "role": self.model.role}
        return server.Response(200, {**done, "version": self.version})

    def _apply(self, order: str, value: str) -> None:
        if order == "set_role":
            self.model.role = value
        elif order == "load_version":
            self.version = value
        elif order == "load_model":
            self.models = [value]
        elif order == "load_adapter" and value not in self.adapters:
            self.adapters.append(value)

    def _describe(self) -> dict[str, Any]:
        return {
            "role": self.model.role,
            "models": list(self.models),
            "version": self.version,
            "adapters": list(self.adapters),
            "fence": self.fence,
        }

    def _list_requests(self, request: server.Request) -> server.Response:
        with self.lock:
            return server.Response(200, {"requests": self.model.requests()})

    def _load(self, request: server.Request) -> server.Response:
        with self.lock:
            load = self.model.load(self.now())
            return server.Response(200, {**load, **self._describe()})

    def _cache_events(self, request: server.Request) -> server.Response:
        after = int(request.query.get("after", 0))
        with self.lock:
            if self.faults["lose_cache_events"]:
                self.model.cache.lose_events()
            body = self.model.cache.events(after, self.now())
        return server.Response(200, body)


def _parser() -> argparse.ArgumentParser:
    defaults = engine_model.Settings()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--role", default="decode")
    parser.add_argument("--model", action="append")
    parser.add_argument(
        "--fencing", choices=("check", "ignore"), default="check"
    )
    for name in engine_model.Settings._fields:
        default = getattr(defaults, name)
        parser.add_argument(
            "--" + name.replace("_", "-"), type=type(default), default=default
        )
    return parser


def make(options: argparse.Namespace) -> EngineStandIn:
    """Returns a stand-in that is configured by the command line."""
    given = {
        name: getattr(options, name) for name in engine_model.Settings._fields
    }
    return EngineStandIn(
        options.role,
        tuple(options.model or ("lesar-7b",)),
        engine_model.Settings(**given),
        options.fencing == "check",
    )


if __name__ == "__main__":
    server.main(make, _parser())
