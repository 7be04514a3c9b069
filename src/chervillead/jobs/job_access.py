"""Which client accounts may look at a job and cancel it."""

from chervillead import verdicts


def check_account(
    job_account: str, caller_account: str
) -> verdicts.Refusal | None:
    """Returns why an account may not use a job, or None if it may.

    Args:
        job_account: Client account of the job; empty for a job that was
            submitted to a public queue, which every caller may use.
        caller_account: Client account of the caller.
    """
    if job_account in ("", caller_account):
        return None
    return verdicts.not_run(
        "other-account", 403, "job belongs to another client account"
    )
