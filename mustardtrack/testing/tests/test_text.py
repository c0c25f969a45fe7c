"""Guards against expected answers that depend on more than model and prompt."""

from mustardtrack.testing.text import cut_prompt, expected_text


def test_text_depends_on_model_and_prompt_only():
    text = expected_text("m", "p", 20)
    assert text == expected_text("m", "p", 20)
    assert len({text, expected_text("n", "p", 20), expected_text("m", "q", 20)}) == 3


def test_digests_cover_the_salt_and_all_preceding_pieces():
    one = cut_prompt("s", "aaaabbbb", 4)
    assert cut_prompt("s", "aaaacccc", 4)[0] == one[0]
    assert cut_prompt("s", "ccccbbbb", 4)[1] != one[1]
    assert not set(cut_prompt("t", "aaaabbbb", 4)) & set(one)
