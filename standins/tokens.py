"""The text that stand-in engines generate, a function of prompt and seed.

It does not depend on the engine or the weight version, so a test can compute
the complete response that it expects.
"""

import hashlib

__all__ = ["expected_tokens"]

FULL_LENGTH_SHARE = 0.1
MIN_SHORT_FRACTION = 0.25
MAX_SHORT_FRACTION = 0.5


def expected_tokens(prompt: str, seed: int, max_tokens: int) -> list[str]:
    """Returns the tokens of one generation.

    A tenth of the generations use all of `max_tokens`; the others end
    between a quarter and a half of it.
    """
    digest = hashlib.blake2b(
        f"{seed}:{prompt}".encode(), digest_size=16
    ).digest()
    draw = int.from_bytes(digest[:4]) / 2**32
    length_fraction = 1.0
    if draw >= FULL_LENGTH_SHARE:
        rescaled = (draw - FULL_LENGTH_SHARE) / (1 - FULL_LENGTH_SHARE)
        length_fraction = MIN_SHORT_FRACTION + rescaled * (
            MAX_SHORT_FRACTION - MIN_SHORT_FRACTION
        )
    length = max(1, round(max_tokens * length_fraction))
    word = digest.hex()[:6]
    return [f"{word}-{index} " for index in range(length)]
