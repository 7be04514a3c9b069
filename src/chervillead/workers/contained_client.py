"""Keeps an error in the client of one worker from its owner's other workers.

A client decodes what a worker sends. An error in it concerns that worker alone:
the call has failed, like one without a response, so the worker counts as
unreachable and its runs are kept until their leases have ended. Errors in what
an owner does with the outcome are its own, and pass.
"""

from collections import abc
import typing

from returns import result

from chervillead import error_texts
from chervillead import verdicts
from chervillead.workers import interface

_Value = typing.TypeVar("_Value")
_Arguments = typing.ParamSpec("_Arguments")
_Outcome: typing.TypeAlias = result.Result[_Value, interface.WorkerCallFailure]

# Receives the name of a call and the error that it raised.
OnError = abc.Callable[[str, Exception], None]


def contain(
    client: interface.WorkerClient, on_error: OnError
) -> interface.WorkerClient:
    """Returns a client whose calls fail where those of `client` raise.

    Args:
        client: Client of one worker.
        on_error: Receives each error.
    """

    def contained(
        name: str,
        call: abc.Callable[_Arguments, abc.Awaitable[_Outcome[_Value]]],
    ) -> abc.Callable[_Arguments, abc.Awaitable[_Outcome[_Value]]]:
        async def call_or_fail(
            *args: _Arguments.args, **kwargs: _Arguments.kwargs
        ) -> _Outcome[_Value]:
            try:
                return await call(*args, **kwargs)
            except Exception as error:
                on_error(name, error)
                return result.Failure(_failure(name, error))

        return call_or_fail

    return interface.WorkerClient(
        contained("poll", client.poll),
        contained("start", client.start),
        contained("stop", client.stop),
        contained("pace", client.pace),
        client.close,
    )


def _failure(name: str, error: Exception) -> interface.WorkerCallFailure:
    """Returns the failure of a call that raised, which may have been sent."""
    detail = error_texts.shorten_text(f"{name}: {error!r}")
    return interface.WorkerCallFailure(verdicts.Verdict.MAY_HAVE_RUN, detail)
