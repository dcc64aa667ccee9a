"""Random numbers for the model: a stream per purpose, so that an extra draw from one changes no other."""

from __future__ import annotations

import zlib
from math import exp

import numpy as np


def stream(seed: int, *purpose: str | int) -> np.random.Generator:
    """Return a generator that depends on seed and purpose alone, not on other draws or on the hash seed."""
    words = [zlib.crc32(str(part).encode()) for part in purpose]
    return np.random.Generator(np.random.PCG64([seed & 0xFFFFFFFF, seed >> 32, *words]))


def unit(seed: int, *purpose: str | int) -> float:
    """Return the number in [0, 1) for that purpose.

    No generator is created, as a long run draws millions of such numbers.
    """
    state = zlib.crc32("/".join(map(str, purpose)).encode(), seed & 0xFFFFFFFF) | (seed & 0xFFFFFFFF) << 32
    # The finalizer of SplitMix64 (Steele, Lea, Flood 2014) mixes the bits of the checksum.
    state = (state + 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
    state = ((state ^ state >> 30) * 0xBF58476D1CE4E5B9) & 0xFFFFFFFFFFFFFFFF
    state = ((state ^ state >> 27) * 0x94D049BB133111EB) & 0xFFFFFFFFFFFFFFFF
    return (state ^ state >> 31) / 2.0**64


def stretch(seed: int, sigma: float, *purpose: str | int) -> float:
    """Return a log-normal factor with mean 1; its normal is a sum of twelve uniform numbers (Irwin-Hall)."""
    if not sigma:
        return 1.0
    normal = sum(unit(seed, *purpose, place) for place in range(12)) - 6.0
    return exp(sigma * normal - sigma * sigma / 2)
