"""Open a flow to the deployment of examples/first and send one request."""

import asyncio

from cardamomtiller.client import Answer, Client, Status
from cardamomtiller.identity import MS_PER_S, Endpoint

ADDRESS = Endpoint('127.0.0.1', 7400)
CUSTOMER = 'corner-shop'
# Secret of the customer in examples/first/lists/customers.ini.
SECRET = bytes.fromhex('101d6cfeacbcfa4a9b083bc6ced29283')
RETRY_TIMEOUT_S = 10


async def send_with_retries(client: Client, payload: bytes) -> Answer:
    """Send a request; retry it as long as it is certain that it has not run."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + RETRY_TIMEOUT_S
    answer = await client.request(payload)
    while answer.status is Status.NOT_RUN and loop.time() < deadline_s:
        await asyncio.sleep(answer.retry_after_ms / MS_PER_S)
        answer = await client.request(payload)
    return answer


async def main() -> None:
    """Send a request and print the answer."""
    async with Client(ADDRESS, CUSTOMER, SECRET) as client:
        print(await send_with_retries(client, b'two loaves'))


asyncio.run(main())
