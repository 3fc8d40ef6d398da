"""Steps for the retention and fencing of the duplicate record."""

from behave import given, then, when

from cardamomtiller.identity import FlowId, RequestId, RequestKey
from cardamomtiller.serving.record import DuplicateRecord, RecordState
from tests.simulation import Fleet, VirtualLoop

FLOW = FlowId(b'f' * 16)


@given('a duplicate record with a retention of {retention_ms:d} ms')
def make_record(context, retention_ms):
    context.record = DuplicateRecord(retention_ms)


@then('a copy of a running, answered, fenced or finished request is not new')
def check_copies_not_new(context):
    record = context.record
    running, answered, fenced, finished = (
        RequestKey(FLOW, RequestId(number)) for number in (7, 8, 9, 3)
    )
    for key in (running, answered, finished):
        assert record.begin(key, 1, 0) is RecordState.NEW
    record.answer(answered, 1, 10)
    assert record.fence(fenced, 1, 10)
    assert record.finish_below(FLOW, RequestId(4), 10) == (finished,)
    record.expire(900)
    assert record.begin(running, 1, 900) is RecordState.RUNNING
    assert record.begin(answered, 1, 900) is RecordState.ANSWERED
    assert record.begin(fenced, 1, 900) is RecordState.FENCED
    assert record.begin(finished, 1, 900) is RecordState.FINISHED
    assert not record.fence(running, 1, 900), 'a running request was fenced'
    record.expire(3000)
    assert len(record) == 0


@then('a request fenced under generation 2 starts only under generation 3')
def check_generations(context):
    key = RequestKey(FLOW, RequestId(1))
    assert context.record.fence(key, 2, 0)
    for generation in (1, 2):
        assert context.record.begin(key, generation, 1) is RecordState.FENCED
    assert context.record.begin(key, 3, 1) is RecordState.NEW
    assert context.record.begin(key, 3, 2) is RecordState.RUNNING


@when('the data plane ticks for 30 s after {count:d} requests of closed flows')
def run_ticks(context, count):
    loop = VirtualLoop()
    fleet = Fleet(loop, 1, is_short_lived=False)

    async def run():
        data = fleet.start_instance(fleet._instance_rows[0]).data
        context.record = data.context.record
        for number in range(count):
            flow = FlowId(number.to_bytes(16, 'big'))
            key = RequestKey(flow, RequestId(1))
            context.record.begin(key, 1, 0)
            context.record.finish_below(flow, RequestId(1), 0)
        later_ms = loop.time() * 1000 + context.record.retention_ms
        for tick in range(1500):
            data.tick(later_ms + 20 * tick)

    loop.run_until_complete(run())
    loop.close()


@then('the duplicate record is empty')
def check_empty(context):
    assert len(context.record) == 0
    assert context.record.watermark_count() == 0
