"""Guards against expected text that depends on more than model and prompt."""

from mustardtrack.testing.text import expected_text, hash_prompt_blocks


def test_text_depends_only_on_model_and_prompt():
    text = expected_text("m", "p", 20)
    assert text == expected_text("m", "p", 20)
    assert len({text, expected_text("n", "p", 20), expected_text("m", "q", 20)}) == 3


def test_digests_cover_the_salt_and_all_preceding_blocks():
    blocks = hash_prompt_blocks("s", "aaaabbbb", 4)
    assert hash_prompt_blocks("s", "aaaacccc", 4)[0] == blocks[0]
    assert hash_prompt_blocks("s", "ccccbbbb", 4)[1] != blocks[1]
    assert not set(hash_prompt_blocks("t", "aaaabbbb", 4)) & set(blocks)
