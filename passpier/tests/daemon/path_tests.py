"""End-to-end tests of the interfaces for callers and operators, with real processes."""

from __future__ import annotations

import http.client
import json
from collections.abc import Iterator
from typing import Any

import openai
import pytest
import xxhash

from passpier.standins import fleets, processes


def compute_text(prompt: str, tokens: int) -> str:
    """Return the response of the stand-in engine, which is a function of the preceding text."""
    state = xxhash.xxh64(prompt.encode())
    pieces = []
    for _ in range(tokens):
        pieces.append(f' {state.intdigest() % 4096:03x}')
        state.update(pieces[-1].encode())
    return ''.join(pieces)


@pytest.fixture(scope='module')
def fleet() -> Iterator[fleets.Fleet]:
    with fleets.run_fleet() as started:
        yield started


def make_client(fleet: fleets.Fleet, key: str = fleets.KEYS['tower']) -> openai.OpenAI:
    url = f'http://{fleet.daemons[0].entry}/v1'
    return openai.OpenAI(base_url=url, api_key=key, max_retries=0)


def test_openai_client_whole_and_streamed(fleet: fleets.Fleet) -> None:
    client = make_client(fleet)
    whole = client.completions.create(model='flag', prompt='hail near', max_tokens=5)
    assert whole.choices[0].text == compute_text('hail near', 5)
    assert whole.usage is not None
    assert whole.usage.completion_tokens == 5
    stream = client.completions.create(model='flag', prompt='squall', max_tokens=7, stream=True)
    assert ''.join(c.choices[0].text for c in stream) == compute_text('squall', 7)
    messages: Any = [{'role': 'user', 'content': 'rain?'}]
    rendered = '<|user|>rain?<|assistant|>'
    chat = client.chat.completions.create(model='flag', messages=messages, max_tokens=4)
    assert chat.choices[0].message.content == compute_text(rendered, 4)
    pieces = client.chat.completions.create(
        model='flag', messages=messages, max_tokens=4, stream=True
    )
    assert ''.join(p.choices[0].delta.content or '' for p in pieces) == compute_text(rendered, 4)
    tokens = client.completions.create(model='flag', prompt=list(range(100)), max_tokens=3)
    assert tokens.usage is not None
    assert tokens.usage.prompt_tokens == 100
    assert [m.id for m in client.models.list()] == ['flag', 'draft']


def test_a_prefix_cached_through_one_daemon_is_used_by_the_other(fleet: fleets.Fleet) -> None:
    prefix = ' '.join(f'station {n}' for n in range(200))
    first = fleet.complete(0, prefix + ' first')
    assert first.cached == 0

    def is_known() -> bool:
        return fleet.complete(1, prefix + ' again').cached > 400

    processes.wait_until(is_known, 'the prefix is found', 5)


@pytest.mark.parametrize(
    ('body', 'headers', 'status', 'code'),
    [
        (b'{"model":', {}, 400, 'bad_request'),
        (b'[1]', {}, 400, 'bad_request'),
        (b'{"model": "flag", "prompt": {"a": 1}}', {}, 400, 'bad_request'),
        (b'{"model": "flag", "prompt": "x", "max_tokens": 0}', {}, 400, 'bad_request'),
        (b'{"model": "nothing", "prompt": "x"}', {}, 404, 'not_found'),
        (b'{"model": "ack", "prompt": "x"}', {}, 404, 'not_found'),
        (b'{"model": "draft", "prompt": "x"}', {}, 400, 'idempotency_key_required'),
        (b'{}', {'Authorization': 'Bearer wrong'}, 401, 'unauthorized'),
        (b'{}', {'Authorization': ''}, 401, 'unauthorized'),
        (b' ' * (4 * 1024 * 1024 + 1), {}, 413, 'body_too_large'),
        (b'[' * 100_000, {}, 400, 'bad_request'),
    ],
)
def test_invalid_input_is_refused_with_its_cause(
    fleet: fleets.Fleet, body: bytes, headers: dict[str, str], status: int, code: str
) -> None:
    url = f'http://{fleet.daemons[0].entry}/v1/completions'
    answer = fleets.Response(
        *processes.call('POST', url, body, {**fleets.make_headers(), **headers})
    )
    assert (answer.status, answer.error['code']) == (status, code)
    assert answer.error['outcome'] == 'not_run'
    assert answer.headers['X-Passpier-Outcome'] == 'not_run'


def test_unknown_paths_and_health(fleet: fleets.Fleet) -> None:
    entry = fleet.daemons[0].entry
    assert processes.call('GET', f'http://{entry}/v2/none')[0] == 404
    assert processes.call('GET', f'http://{entry}/healthz')[0] == 200
    status, _, body = processes.call('GET', f'http://{entry}/metrics')
    assert status == 200
    for name in ('passpier_first_token_seconds', 'passpier_configuration_revision'):
        assert name in body.decode()


def test_entries_name_all_daemons(fleet: fleets.Fleet) -> None:
    url = f'http://{fleet.daemons[0].entry}/v1/entries'
    answer = json.loads(processes.call('GET', url, None, fleets.make_headers())[2])
    assert {e['address'] for e in answer['entries']} == {d.entry for d in fleet.daemons}
    assert answer['ttl'] == 1.0


def test_a_disconnected_caller_leaves_nothing_running(fleet: fleets.Fleet) -> None:
    connection = http.client.HTTPConnection(fleet.daemons[0].entry, timeout=10)
    body = {'model': 'flag', 'prompt': 'long', 'max_tokens': 20_000, 'stream': True}
    connection.request('POST', '/v1/completions', json.dumps(body), fleets.make_headers())
    response = connection.getresponse()
    assert response.read(40)
    response.close()
    connection.close()

    def is_idle() -> bool:
        return not any(e.get_counters()['active'] for e in fleet.engines)

    processes.wait_until(is_idle, 'the upstream is cancelled', 5)
    assert fleet.daemons[0].list_events('caller gone')


def test_plain_services_and_their_keys(fleet: fleets.Fleet) -> None:
    assert fleet.call_service(0, path='/tile').status == 200
    assert fleet.call_service(0).error['code'] == 'idempotency_key_required'
    first = fleet.call_service(0, 'order-1')
    again = fleet.call_service(1, 'order-1')
    repeated = fleet.call_service(0, 'order-1')
    assert first.body == again.body == repeated.body
    assert repeated.headers['X-Passpier-Repeated'] == '1'
    assert fleet.count_runs('order-1') == 1


def test_no_encoding_of_a_path_bypasses_its_rules(fleet: fleets.Fleet) -> None:
    """The HTTP client and upstreams may normalize a path after its rule was looked up."""
    expected = {
        '/%61ck': 'idempotency_key_required',
        '/ack?x=1': 'idempotency_key_required',
        '/ack/sub': 'idempotency_key_required',
        '/tile/../ack': 'bad_request',
        '/tile/%2e%2e/ack': 'bad_request',
        '//ack': 'bad_request',
        '/./ack': 'bad_request',
    }
    assert {p: fleet.call_service(0, path=p).error['code'] for p in expected} == expected
    answer = fleet.call_service(0, path='/tile%20a/b?x=%2F&y=1', method='GET')
    assert json.loads(answer.body)['path'] == '/tile%20a/b?x=%2F&y=1'


def test_unrepeatable_completions_run_once_and_repeat_their_answer(fleet: fleets.Fleet) -> None:
    body = {'model': 'draft', 'prompt': 'evacuate?', 'max_tokens': 6, 'stream': True}
    headers = {**fleets.make_headers(), 'Idempotency-Key': 'advisory-1'}
    answers = []
    for daemon in (fleet.daemons[0], fleet.daemons[1], fleet.daemons[0]):
        url = f'http://{daemon.entry}/v1/completions'
        answers.append(fleets.Response(*processes.call('POST', url, body, headers)))
    assert {a.text for a in answers} == {compute_text('evacuate?', 6)}
    assert all(a.is_complete for a in answers)
    runs = [r for e in fleet.engines for r in e.get_counters()['runs'].items()]
    drafts = {a.chunks[0]['id'] for a in answers}
    assert sum(count for name, count in runs if name.rpartition('-')[0] in drafts) == 1


def test_operators_need_the_secret(fleet: fleets.Fleet) -> None:
    url = f'http://{fleet.daemons[0].operators}/rpc'
    body = {'jsonrpc': '2.0', 'id': 1, 'method': 'show', 'params': {}}
    assert processes.call('POST', url, body)[0] == 401
    assert processes.call('POST', url, body, {'Authorization': 'Bearer nearly'})[0] == 401


def test_nothing_secret_is_logged(fleet: fleets.Fleet) -> None:
    secret = 'flood at Sukkur barrage'
    answer = fleet.complete(0, secret)
    for daemon in fleet.daemons:
        log = daemon.read_log()
        for word in (secret, fleets.KEYS['tower'], processes.SECRET, answer.text):
            assert word not in log
    decisions = fleet.daemons[0].list_events('routing decision')
    assert decisions[-1]['candidates'][0].keys() >= {
        'upstream',
        'wait',
        'prefill',
        'recompute',
        'crowding',
    }
