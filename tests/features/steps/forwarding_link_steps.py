"""Steps for the link of the instance: rate and queue."""

from behave import then

from cardamomtiller.forwarding.link.copies import DEFAULT_COPIES, SentPackets
from cardamomtiller.forwarding.link.egress import DEFAULT_EGRESS, PutResult
from cardamomtiller.forwarding.link.rate import DEFAULT_RATE, LinkRate
from tests.link_rig import HEADER_BYTES, PAYLOAD_BYTES, LinkModel, new_queue, payload

# 2.4 Mbit/s, the links of the reduced deployment.
BYTES_PER_MS = 300
TRANSFER_BYTES = 80_000
OBJECTIVE_MS = 1500
PACKET_BYTES = PAYLOAD_BYTES + HEADER_BYTES
FIRST, SECOND = ('client-1', 1), ('client-2', 1)


def run_model(stated=BYTES_PER_MS, *, transfers=1, **options):
    """Return a model after some transfers that start together."""
    model = LinkModel(stated, **options)
    for number in range(transfers):
        model.transfer((f'client-{number}', 1), TRANSFER_BYTES)
    model.run()
    assert len(model.finished_ms) == transfers or not options.get('is_queued', True)
    return model


def filled_queue(flow=FIRST, packets=20, **fields):
    """Return a queue in which packets of a flow wait, without credit."""
    queue = new_queue(BYTES_PER_MS)
    for number in range(packets):
        queue.put(payload(flow, number * PAYLOAD_BYTES, **fields), 0)
    assert list(queue.due(0))
    return queue


def sent_until(queue, until_ms):
    """Return what leaves the queue, with a timer of 1 ms."""
    return [item for now_ms in range(until_ms + 1) for item in queue.due(now_ms)]


def sequences(deliveries, flow=FIRST):
    """Return the sequence numbers of a flow in the order of sending."""
    return [d.packet.sequence for d in deliveries if d.packet.flow == flow]


@then('a model link loses most of what is sent at once')
def step_unqueued(context):
    # The trace of the deployment had 60% of copies; the model must show the same fault.
    assert run_model(is_queued=False).copies_share > 0.5


@then('at the stated rate hardly any packet is repeated, also when timers fire late')
def step_paced(context):
    for late_ms in (0, 5, 10):
        model = run_model(transfers=2, late_ms=late_ms)
        assert model.copies_share < 0.02
        assert model.longest_ms < 1.2 * 2 * TRANSFER_BYTES / BYTES_PER_MS


@then('more than a few packets are never sent at once')
def step_burst(context):
    queue = filled_queue()
    sent_bytes = sum(len(item.datagram) for item in queue.due(10_000))
    assert sent_bytes <= DEFAULT_EGRESS.credit.min_burst_bytes


@then('openings, acknowledgements and resets are sent before waiting payload')
def step_short_first(context):
    queue = filled_queue()
    short = [
        payload(SECOND, 0, 0, is_opening=True),
        payload(FIRST, 0, 0),
        payload(SECOND, 0, 0, is_reset=True),
        payload(SECOND, 0, 200),
    ]
    assert [queue.put(item, 0) for item in short] == [PutResult.READY] * 4
    assert list(queue.due(0)) == short


@then('flows take turns, urgent ones with more packets in each turn')
def step_turns(context):
    queue = filled_queue()
    queue.put(payload(SECOND, 0), 0)
    assert sequences(sent_until(queue, 10), SECOND)
    queue = filled_queue(priority=2)
    for number in range(20):
        queue.put(payload(SECOND, number * PAYLOAD_BYTES, priority=0), 0)
    sent = sent_until(queue, 60)
    assert 2 * len(sequences(sent, FIRST)) < len(sequences(sent, SECOND))
    assert sequences(sent, FIRST)


@then('short packets that fill the link do not stop a transfer')
def step_flood(context):
    queue = filled_queue()
    sent = []
    for now_ms in range(200):
        queue.put(payload(SECOND, now_ms, BYTES_PER_MS), now_ms)
        sent += queue.due(now_ms)
        queue.put(payload(SECOND, now_ms, 2 * BYTES_PER_MS), now_ms)
    assert sequences(sent, FIRST), 'the transfer got no share'


@then('waiting payload leaves in order, also where the numbers wrap around')
def step_order(context):
    start = 2**32 - 5 * PAYLOAD_BYTES
    queue = filled_queue(SECOND)
    for number in (4, 9, 0, 7, 1, 8, 3, 2, 6, 5):
        queue.put(payload(FIRST, start + number * PAYLOAD_BYTES), 0)
    expected = [(start + number * PAYLOAD_BYTES) % 2**32 for number in range(10)]
    assert sequences(sent_until(queue, 200)) == expected


@then('a closing packet leaves after the payload before it')
def step_closing(context):
    queue = filled_queue(packets=6)
    end = 6 * PAYLOAD_BYTES
    assert queue.put(payload(FIRST, end, 0, is_closing=True), 0) is PutResult.QUEUED
    assert sequences(sent_until(queue, 100))[-1] == end


@then('a reset of the client discards what waits')
def step_reset(context):
    queue = filled_queue()
    reset = payload(FIRST, 0, 0, is_reset=True)
    queue.put(reset, 0)
    assert sent_until(queue, 100) == [reset]
    assert queue.queued_bytes == 0


@then('a copy is dropped while its original waits or was just sent')
def step_copy_dropped(context):
    queue = filled_queue()
    waiting, sent = payload(FIRST, 19 * PAYLOAD_BYTES), payload(FIRST, 0)
    assert queue.put(waiting, 1) is PutResult.COPY
    assert queue.put(sent, 1) is PutResult.COPY
    assert sequences(sent_until(queue, 200)).count(19 * PAYLOAD_BYTES) == 1


@then('a copy of a packet that was sent earlier is sent')
def step_copy_sent(context):
    queue = filled_queue(packets=3)
    copy = payload(FIRST, 0)
    assert queue.put(copy, 200) is PutResult.QUEUED
    assert list(queue.due(200)) == [copy]


@then('the packets that wait are bounded, and the longest flow loses its last one')
def step_bounded(context):
    bound = DEFAULT_EGRESS.max_backlog_ms * BYTES_PER_MS
    packets = int(bound / PACKET_BYTES)
    queue = filled_queue(packets=packets + 3)
    assert queue.put(payload(SECOND, 0), 0) is PutResult.QUEUED
    results = [queue.put(payload(SECOND, n * PAYLOAD_BYTES), 0) for n in (1, 2, 3)]
    assert PutResult.OVERFLOW in results
    assert queue.queued_bytes <= bound
    sent = list(queue.drain(0))
    assert len(sequences(sent, SECOND)) == 4
    assert (packets + 2) * PAYLOAD_BYTES not in sequences(sent)


@then('a process that stops sends what waits')
def step_drain(context):
    queue = filled_queue()
    assert list(queue.drain(0))
    assert not queue and queue.queued_bytes == 0 and queue.next_due_ms(0) is None


@then('a link slower than stated carries transfers sooner than without a queue')
def step_slower(context):
    slow = {'actual': BYTES_PER_MS / 3, 'transfers': 4}
    queued, unqueued = run_model(**slow), run_model(is_queued=False, **slow)
    assert queued.longest_ms < unqueued.longest_ms
    assert queued.copies_share < unqueued.copies_share
    assert queued.rate.bytes_per_ms < BYTES_PER_MS / 2


@then('a faster link, and one that loses packets, carries them in time')
def step_faster(context):
    assert run_model(actual=3 * BYTES_PER_MS).longest_ms < OBJECTIVE_MS
    for loss in (0.01, 0.02):
        lossy = run_model(loss=loss, transfers=2)
        assert lossy.longest_ms < OBJECTIVE_MS
        assert lossy.rate.bytes_per_ms >= BYTES_PER_MS


@then('the rate stays within its bounds, and a silent upstream does not change it')
def step_bounds(context):
    lossy = LinkRate(BYTES_PER_MS, DEFAULT_RATE)
    clean = LinkRate(BYTES_PER_MS, DEFAULT_RATE)
    uncertain = LinkRate(BYTES_PER_MS, DEFAULT_RATE)
    for _ in range(10_000):
        lossy.record_losses(1)
        lossy.record_sent(0)
        clean.record_busy(10)
        clean.record_sent(0)
    for number in range(DEFAULT_RATE.sample_packets * 10):
        # 5% of copies: neither a reason to lower the rate nor to exceed what is stated.
        uncertain.record_losses(number % 20 == 0)
        uncertain.record_busy(10)
        uncertain.record_sent(0)
    assert uncertain.bytes_per_ms == BYTES_PER_MS
    assert lossy.bytes_per_ms == BYTES_PER_MS / 4
    assert clean.bytes_per_ms == 2 * BYTES_PER_MS
    clean.record_losses(10)
    for _ in range(DEFAULT_RATE.sample_packets):
        clean.record_sent(0)
    assert clean.bytes_per_ms == BYTES_PER_MS, 'a rate above the stated one is kept'
    sent = SentPackets(DEFAULT_COPIES)
    for number in (5, 5, 3, 6):
        # A packet before the copy shows nothing, since windows arrive in random order.
        shown = sent.count_losses(payload(FIRST, number * PAYLOAD_BYTES).packet, 0)
        assert shown == (number == 6)
        sent.record_sent(payload(FIRST, number * PAYLOAD_BYTES).packet, 0)
    silent = LinkModel(BYTES_PER_MS, loss=1.0)
    for number in range(10):
        silent.transfer((f'client-{number}', 1), TRANSFER_BYTES)
    silent.run()
    assert silent.sent > 1000
    assert silent.rate.bytes_per_ms >= BYTES_PER_MS


@then('a wide link lets all packets pass without a wake-up')
def step_wide(context):
    queue = new_queue(125_000)
    for number in range(64):
        assert queue.put(payload(FIRST, number * PAYLOAD_BYTES), 0) is PutResult.READY
    assert len(list(queue.due(0))) == 64
    assert queue.next_due_ms(0) is None and queue.backlog_ms(0) == 0


@then('a link that grows beyond the rate without pacing is paced and lowered again')
def step_paced_again(context):
    rate = LinkRate(DEFAULT_RATE.unpaced_bytes_per_ms * 0.9, DEFAULT_RATE)
    for number in range(DEFAULT_RATE.sample_packets * 10):
        rate.record_busy(100)
        rate.record_sent(number)
    assert rate.bytes_per_ms > DEFAULT_RATE.unpaced_bytes_per_ms
    assert not rate.is_unpaced
    rate.record_losses(DEFAULT_RATE.sample_packets)
    for _ in range(DEFAULT_RATE.sample_packets):
        rate.record_sent(0)
    assert rate.bytes_per_ms < DEFAULT_RATE.unpaced_bytes_per_ms
