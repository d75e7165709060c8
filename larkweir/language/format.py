"""The one way to lay a file out. Comments stay where they are, and nothing else of the meaning is touched.

It goes by the words of the text, not by the tree, so that what it prints has the same words in the same order; only
space, the form of numbers' digits and blank lines change. What can't be read is not laid out.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from larkweir.language.faults import Faults
from larkweir.language.grammar import parse

INDENT = "    "
WIDTH = 110
WORD = re.compile(
    r"""(?P<comment>\#[^\n]*) | (?P<text>"(?:[^"\\\n]|\\[^\n])*") | (?P<mark>[{}\[\]=;:,]) | (?P<line>\n)
    | (?P<space>[ \t\r]+) | (?P<word>[^\s{}\[\]=;:,"\#]+)""",
    re.VERBOSE,
)
# An amount may hold a colon: an address and its port.
AMOUNT = re.compile(r"[-+]?\.?[0-9][^\s;{}\[\],\"#=]*")


@dataclass(slots=True)
class Word:
    text: str
    kind: str  # comment, text, mark, word
    lines: int  # line ends before it


def words(text: str) -> list[Word]:
    found: list[Word] = []
    lines = at = 0
    while at < len(text):
        amount = AMOUNT.match(text, at)
        if amount is not None:
            found.append(Word(amount.group(), "word", lines))
            lines, at = 0, amount.end()
            continue
        match = WORD.match(text, at)
        if match is None:  # what is no word; a text with faults is not laid out, so this is never reached
            raise ValueError(f"{text[at]!r} is no word")
        at = match.end()
        kind = str(match.lastgroup)
        if kind == "line":
            lines += 1
        elif kind != "space":
            found.append(Word(match.group().rstrip(), kind, lines))
            lines = 0
    return found


class Layout:
    """Writes words as lines."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self._line: list[str] = []
        self._depth = 0
        self._blank = False  # a blank line is to come before the next
        self._lists = 0

    def put(self, word: Word) -> None:
        if word.kind == "comment":
            self._comment(word)
            return
        if not self._line and not self._lists and word.lines > 1:
            self._blank = True
        if word.kind != "mark":
            self._join(word.text)
        elif word.text == "{":
            self._join("{")
            self._end()
            self._depth += 1
            self._blank = False
        elif word.text == "}":
            self._end()
            self._depth = max(0, self._depth - 1)
            self._blank = False
            self._line = ["}"]
            self._end()
        elif word.text == ";":
            self._touch(";")
            if not self._lists:
                self._end()
        elif word.text == "[":
            self._lists += 1
            self._join("[")
        elif word.text == "]":
            self._lists = max(0, self._lists - 1)
            if self._line and self._line[-1].endswith(","):
                self._line[-1] = self._line[-1][:-1]
            self._touch("]")
        elif word.text in ",:":
            # A parent follows its colon after a space, and stands a space behind the name before it.
            if word.text == ":":
                self._join(":")
            else:
                self._touch(",")
        else:
            self._join(word.text)

    def _join(self, text: str) -> None:
        self._line.append(text)

    def _touch(self, text: str) -> None:
        """Without a space before it."""
        if self._line:
            self._line[-1] += text
        else:
            self._line.append(text)

    def _comment(self, word: Word) -> None:
        text = word.text if word.text[1:2] in (" ", "!", "#", "") else f"# {word.text[1:]}"
        if word.lines == 0 and not self._line and self.lines and not self.lines[-1].lstrip().startswith("#"):
            self.lines[-1] += f"  {text}"  # behind the statement that has just ended
        elif self._line:  # in the middle of a statement: before it, since a comment ends its line
            self._emit(text)
        else:
            self._blank = self._blank or word.lines > 1
            self._emit(text)

    def _emit(self, text: str) -> None:
        if self._blank and self.lines and not self.lines[-1].endswith("{"):
            self.lines.append("")
        self._blank = False
        self.lines.append(INDENT * self._depth + text)

    def _end(self) -> None:
        if not self._line:
            return
        text = self._spaced()
        self._line = []
        self._emit(text)

    def _spaced(self) -> str:
        out = ""
        for part in self._line:
            out += part if not out or out.endswith("[") else f" {part}"
        return out


def formatted(text: str, path: str = "") -> str | None:
    """The text in its one layout; None where it has faults of form, which `check` tells."""
    faults = Faults()
    parse(text, path, faults)
    if faults.fatal:
        return None
    layout = Layout()
    for word in words(text):
        layout.put(word)
    body = "\n".join(layout.lines).strip("\n")
    return body + "\n" if body else ""
