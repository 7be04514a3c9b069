"""Steps of tests/upstreams/http_exchange.feature."""

import asyncio

import behave

from chervillead import http_exchange

COMPLETE = b"HTTP/1.1 200 x\r\ncontent-length: 2\r\n\r\nab"
RESPONSES = {
    "is complete": COMPLETE,
    "asks to close": COMPLETE.replace(b"200 x", b"200 x\r\nConnection: Close"),
    "is of HTTP/1.0": COMPLETE.replace(b"HTTP/1.1", b"HTTP/1.0"),
    "lacks its last byte": COMPLETE[:-1],
    "is followed by another": COMPLETE + COMPLETE,
    "is followed by a stray byte": COMPLETE + b"c",
    "has no length": b"HTTP/1.1 200 x\r\n\r\nab",
    "is not HTTP": b"220 mail.example ESMTP\r\n",
}


@behave.when("a stream holds a response that {what}")
def step(context, what):
    async def main():
        reader = asyncio.StreamReader()
        reader.feed_data(RESPONSES[what])
        reader.feed_eof()
        try:
            response = await http_exchange.read_response(reader)
        except http_exchange.IncompleteResponseError:
            return "incomplete"
        assert response.body == b"ab", response
        return "kept" if response.keep_alive else "closed"

    context.exchange = asyncio.run(main())


@behave.then('the exchange ends as "{expected}"')
def step(context, expected):
    assert context.exchange == expected, context.exchange
