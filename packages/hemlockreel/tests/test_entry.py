from hemlockreel import actions
from hemlockreel import core
from hemlockreel import events
from hemlockreel import messages
from hemlockreel import outcomes
from hemlockreel import replicas
from hemlockreel_standins import helper

POOL = {"service": "lesar", "model": "lesar-7b", "max_output_tokens": 40}


def make_entry():
    made = helper.make_board()
    helper.configure(made, modelpools={"lesar": POOL})
    hosts = helper.listed(replicas.Role.PREFILL, replicas.Role.DECODE)
    helper.run(made, hosts, 0.0)
    return made


def asked(request_id="r1", attempt=1, max_tokens=30, organisation="acme"):
    return events.GenerationAsked(
        request_id, attempt, "lesar-7b", organisation, "", 9, max_tokens, (), 0
    )


def sent(found, kind):
    return [
        action.message
        for action in helper.of_type(found, actions.Send)
        if isinstance(action.message, kind)
    ]


def test_worker_and_owner_agree_on_the_length_after_a_change():
    made = make_entry()
    # The worker took its limit before the pool's was lowered.
    lowered = {**POOL, "max_output_tokens": 10}
    helper.configure(made, modelpools={"lesar": lowered})
    found = core.step(made, asked(max_tokens=30), 0.2)
    assert [ask.output_tokens for ask in sent(found, messages.Ask)] == [30]


def test_refusal_of_an_owner_reaches_the_worker_as_not_run():
    made = make_entry()
    ask = sent(core.step(made, asked(), 0.1), messages.Ask)[0]
    refusal = messages.Refusal(
        sender=helper.HOST,
        epoch=7,
        request_id=ask.request_id,
        attempt=1,
        reason="overloaded",
        retry_after_s=2.0,
    )
    told = helper.of_type(core.step(made, refusal, 0.2), actions.Tell)
    assert [tell.value for tell in told] == [
        outcomes.not_run(outcomes.Reason.OVERLOADED, 2.0)
    ]
