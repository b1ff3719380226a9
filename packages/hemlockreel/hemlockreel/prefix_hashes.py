"""Chained hashes of the leading blocks of a prompt.

Each hash covers its block and all blocks before it, so two prompts have the
first ``n`` hashes in common exactly when their first ``n`` whole blocks are
equal. The longest cached prefix is found by looking up single hashes.
"""

import xxhash

BLOCK_BYTES = 1024
BYTES_PER_TOKEN = 4
MAX_BLOCKS = 64  # later blocks of a prompt are rarely shared


def count_tokens(prompt: str) -> int:
    """Returns the length of ``prompt`` in tokens, rounded up.

    >>> count_tokens("12345")
    2
    """
    return -(-len(prompt.encode()) // BYTES_PER_TOKEN)


def hash_blocks(prompt: str, max_blocks: int = MAX_BLOCKS) -> tuple[int, ...]:
    """Returns the chained 64-bit hashes of the whole blocks of ``prompt``."""
    data = prompt.encode()
    blocks = min(len(data) // BLOCK_BYTES, max_blocks)
    hashes = []
    previous = 0
    for index in range(blocks):
        block = data[index * BLOCK_BYTES : (index + 1) * BLOCK_BYTES]
        previous = xxhash.xxh64_intdigest(block, seed=previous)
        hashes.append(previous)
    return tuple(hashes)
