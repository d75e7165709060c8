"""Text to a tree. The grammar is lark's to read; going on after a fault is done here.

LALR(1), so that time grows with the text and memory with its nesting, which is bounded. The tokens are handed to lark's
parser one by one. At each statement's beginning its state is kept; where a token does not fit, one fault is told, and
reading goes on with the next statement, or with the mark that was surely forgotten. No token is read twice.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from functools import cache
from typing import Any

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedToken

from larkweir.language.faults import Faults, Place
from larkweir.language.tree import Block, File, Form, Include, Let, Name, Setting, Statement, Template, Value

GRAMMAR = r"""
start: statement*

?statement: setting | let | include | template | block | odd
setting: NAME "=" value ";"
let: LET NAME "=" value ";"
include: INCLUDE STRING ";"
template: TEMPLATE NAME parents "{" setting* "}"
block: NAME label parents "{" setting* "}"

label: [STRING]
parents: (":" NAME ("," NAME)*)?

value: NAME | STRING | AMOUNT | REFERENCE | list
list: "[" [value ("," value)* ","?] "]"

odd: OPEN_STRING | ODD  // never handed on: what belongs to no word is told where it is met

LET: "let"
INCLUDE: "include"
TEMPLATE: "template"
NAME: /[A-Za-z_][A-Za-z0-9_.-]*/
REFERENCE: /\$[A-Za-z_][A-Za-z0-9_-]*/
AMOUNT: /[-+]?\.?[0-9][^\s;{}\[\],"#=]*/
STRING: /"(?:[^"\\\n]|\\[^\n])*"/
OPEN_STRING.-1: /"(?:[^"\\\n]|\\[^\n])*\\?/
ODD.-2: /[\s\S]/

COMMENT: /#[^\n]*/
SPACE: /[ \t\r\n]+/
%ignore COMMENT
%ignore SPACE
"""

MOST_BYTES = 1024 * 1024  # of one file
MOST_DEPTH = 8  # of lists and blocks in each other
MOST_AHEAD, MOST_LINES = 200, 10  # words and lines that a text without its end may go on for
END_EACH = "end each setting with ;"
MARKS = {
    "SEMICOLON": ";",
    "EQUAL": "=",
    "LBRACE": "{",
    "RBRACE": "}",
    "LSQB": "[",
    "RSQB": "]",
    "COMMA": ",",
    "COLON": ":",
}
ESCAPES = {"n": "\n", "t": "\t", '"': '"', "\\": "\\"}


@cache
def _lark() -> Lark:
    return Lark(GRAMMAR, parser="lalr", lexer="basic", propagate_positions=False)


def decoded(raw: bytes, path: str, faults: Faults) -> str | None:
    """A file's text; None, and one fault, where it is none."""
    place = Place(path)
    if len(raw) > MOST_BYTES:
        mend = f"at most {MOST_BYTES} are read; divide it by `include`"
        faults.add("LW101", place, f"the file has {len(raw)} bytes", mend)
        return None
    if raw.startswith(b"\xef\xbb\xbf"):
        faults.add("LW102", place, "the file begins with a byte-order mark", "save it as UTF-8 without one")
        return None
    try:
        text = raw.decode("utf-8")
    except UnicodeDecodeError as problem:
        before = raw[: problem.start]
        line = before.count(b"\n") + 1
        column = len(before[before.rfind(b"\n") + 1 :].decode("utf-8", "replace")) + 1
        where = Place(path, line, column)
        faults.add("LW103", where, f"byte 0x{raw[problem.start]:02x} is not UTF-8", "save the file as UTF-8")
        return None
    at = text.find("\0")
    if at >= 0:
        line = text.count("\n", 0, at) + 1
        column = at - text.rfind("\n", 0, at)
        faults.add("LW104", Place(path, line, column), "a NUL byte", "this is no text file, or a torn one")
        return None
    return text


def tokens(text: str) -> Iterator[Token]:
    """All of the text, but for space and comments; what belongs to no word comes as ODD or OPEN_STRING."""
    return iter(_lark().lex(text))


class Reader:
    """Reads one file, once."""

    def __init__(self, text: str, path: str, faults: Faults) -> None:
        self._path = path
        self._faults = faults
        self._tokens = list(tokens(text))
        lines = text.split("\n")
        self._end = Place(path, len(lines), len(lines[-1]) + 1)
        self._at = 0
        self._parser: Any = _lark().parse_interactive("")
        self._kept: Any = None  # the parser as it was at the beginning of the statement
        self._open: list[Token] = []  # braces and brackets that are open
        self._open_kept = 0
        self._before: Token | None = None
        self._lost = False  # a statement that was left out went on to the end of the text

    def read(self) -> File:
        self._keep()
        while self._at < len(self._tokens):
            token = self._tokens[self._at]
            if token.type in ("ODD", "OPEN_STRING"):
                self._odd(token)
                self._recover()
            elif token.type in ("LBRACE", "LSQB") and len(self._open) >= MOST_DEPTH:
                self._fault("LW112", token, f"nested more than {MOST_DEPTH} deep", "nothing needs that")
                self._recover()
            else:
                try:
                    self._feed(token)
                    self._at += 1
                except UnexpectedToken:
                    self._unexpected(token, self._parser.accepts())
        return self._finish()

    # ------------------------------------------------ the parser

    def _feed(self, token: Token) -> None:
        self._parser.feed_token(token)
        self._before = token
        if token.type in ("LBRACE", "LSQB"):
            self._open.append(token)
        elif token.type in ("RBRACE", "RSQB") and self._open:
            self._open.pop()
        if token.type in ("SEMICOLON", "LBRACE", "RBRACE"):
            self._keep()

    def _keep(self) -> None:
        self._kept = self._parser.copy(deepcopy_values=False)
        self._open_kept = len(self._open)

    def _finish(self) -> File:
        while True:
            try:
                whole = self._parser.feed_eof()
                break
            except UnexpectedToken:
                if not self._mend_end():
                    return File(self._path)
        return File(self._path, [self._statement(item) for item in whole.children])

    def _mend_end(self) -> bool:
        """The text ends in the middle of something: tell of that once, and close what is open."""
        if self._lost:  # a fault before this has taken the rest with it
            pass
        elif self._before is not None and "SEMICOLON" in self._parser.accepts():
            self._faults.add("LW108", self._behind(self._before), f"no ; after {self._before}", END_EACH)
            self._parser.feed_token(Token("SEMICOLON", ";"))
            self._keep()
            if not self._open:
                return True
        if self._lost:
            pass
        elif self._open:
            opened = self._open[-1]
            closing = "}" if opened.type == "LBRACE" else "]"
            self._fault("LW110", opened, f"{opened} is never closed", f"write {closing} where it ends")
        elif self._before is not None:
            where = self._behind(self._before)
            self._faults.add(
                "LW111", where, f"the file ends in the middle of a statement after {self._before}"
            )
        self._parser = self._kept
        del self._open[self._open_kept :]
        while self._open:
            closing = Token("RBRACE", "}")
            self._open.pop()
            try:
                self._parser.feed_token(closing)
            except UnexpectedToken:
                return False
        return True

    # ------------------------------------------------ faults

    def _place(self, token: Token) -> Place:
        return Place(self._path, token.line or 1, token.column or 1, max(1, len(token)))

    def _behind(self, token: Token) -> Place:
        return Place(self._path, token.end_line or 1, token.end_column or 1)

    def _fault(self, code: str, token: Token, text: str, mend: str = "") -> None:
        self._faults.add(code, self._place(token), text, mend)

    def _odd(self, token: Token) -> None:
        if token.type == "OPEN_STRING":
            self._fault("LW105", token, "a text that does not end on its line", 'write " where it ends')
        elif token == "$":
            self._fault("LW106", token, "$ without the name of a constant", "write $name")
        elif token == "'":
            self._fault("LW107", token, "' begins no text", 'write "..."')
        else:
            self._fault("LW106", token, f"{str(token)!r} means nothing here")

    def _unexpected(self, token: Token, accepts: set[str]) -> None:
        before = self._before
        newline = before is None or (token.line or 1) > (before.end_line or 1)
        if token.type == "RBRACE" and not self._open:
            self._fault("LW114", token, "} closes nothing", "leave it out")
            self._at += 1
            return
        if "SEMICOLON" in accepts and before is not None and (newline or token.type == "RBRACE"):
            where = self._behind(before)
            self._faults.add("LW108", where, f"no ; after {before}", END_EACH)
            self._feed(Token("SEMICOLON", ";"))
            return
        self._tell(token, before, accepts)
        self._recover()

    def _tell(self, token: Token, before: Token | None, accepts: set[str]) -> None:
        said = f"{token!s:.60}"
        if token.type in ("LET", "INCLUDE", "TEMPLATE") and self._open:
            self._fault("LW115", token, f"{said} stands inside a block", "write it outside of all blocks")
        elif token.type in ("LET", "INCLUDE", "TEMPLATE") and "NAME" in accepts:
            self._fault("LW116", token, f"{said} is a word of the language and no name", "choose another")
        elif self._open and self._opens_block(token):
            self._fault("LW113", token, "a block inside a block", "close the one before it first")
        elif before is not None and before.type == "EQUAL":
            self._fault("LW109", before, "= without a value", "write one behind it")
        elif before is not None and before.type == "NAME" and "EQUAL" in accepts and token.type in VALUES:
            self._fault("LW117", token, f"no = between {before} and {said}", "write name = value;")
        elif "SEMICOLON" in accepts and token.type in VALUES:
            self._fault("LW118", token, f"a second value, {said}", "write several as [a, b]; end with ;")
        elif before is not None and before.type in ("COLON", "COMMA") and "NAME" in accepts:
            self._fault("LW119", token, f"no name of a template before {said}", "write one behind : and ,")
        elif before is not None and before.type == "TEMPLATE":
            self._fault("LW119", token, "a template without a name", "write template name { ... }")
        elif before is not None and before.type == "LET":
            self._fault("LW119", token, "a constant without a name", "write let name = value;")
        elif before is not None and before.type == "INCLUDE":
            self._fault("LW119", token, f"{said} is no file's name", 'write include "limits.lw";')
        elif token.type in ("SEMICOLON", "RBRACE", "EQUAL") and self._open and self._open[-1].type == "LSQB":
            self._fault("LW110", self._open[-1], "[ is never closed", "write ] behind its last value")
        else:
            wanted = sorted(MARKS.get(name, WORDS.get(name, name)) for name in accepts if name in KNOWN)
            mend = f"{' or '.join(wanted)} would fit" if wanted else ""
            self._fault("LW120", token, f"{said} does not fit here", mend)

    def _after_text(self, at: int) -> int:
        """Behind a text that did not end on its line: if it goes on below, behind the quote that was to end it."""
        first = self._tokens[at].line or 1
        for ahead in range(at, min(at + MOST_AHEAD, len(self._tokens))):
            token = self._tokens[ahead]
            if (token.line or 1) - first > MOST_LINES or token.type == "STRING":
                break
            if token.type == "OPEN_STRING":  # all of that line is in it, and what it closes is lost
                self._lost = True
                return ahead + 1
        return at + 1 if self._tokens[at].type == "SEMICOLON" else at

    def _opens_block(self, token: Token) -> bool:
        """Whether a token is the { of a block, or its label before it."""
        behind = self._tokens[self._at + 1].type if self._at + 1 < len(self._tokens) else ""
        return token.type == "LBRACE" or (token.type == "STRING" and behind in ("LBRACE", "COLON"))

    def _recover(self) -> None:
        """Leave the statement out: go on behind its ; or before the } of the block that it stands in."""
        self._parser = self._kept
        del self._open[self._open_kept :]
        self._keep()
        # What of the statement was fed already may have opened something: count from its beginning.
        depth = 0
        at = self._at
        while at > 0 and self._tokens[at - 1].type not in ("SEMICOLON", "LBRACE", "RBRACE"):
            at -= 1
        odd = self._tokens[self._at]
        while at < len(self._tokens):
            kind = self._tokens[at].type
            if odd.type == "OPEN_STRING" and at > self._at and (self._tokens[at].line or 1) > (odd.line or 1):
                at = self._after_text(at)  # what would have ended the statement is in the text
                break
            if kind == "LBRACE" or self._tokens[at] == "(":
                depth += 1
            elif kind == "RBRACE" or self._tokens[at] == ")":
                depth -= 1
                if depth < 0 or (depth == 0 and at >= self._at):
                    at += depth == 0
                    break
            elif kind == "SEMICOLON" and depth == 0 and at >= self._at:
                at += 1
                break
            at += 1
        self._lost = self._lost or (at >= len(self._tokens) and depth > 0)
        if at <= self._at < len(self._tokens) and self._tokens[self._at].type != "RBRACE":
            at = self._at + 1  # guards against going on where it stands
        self._at = at
        self._before = self._tokens[at - 1] if at else None

    # ------------------------------------------------ the tree

    def _name(self, token: Token) -> Name:
        text = self._meant(token) if token.type == "STRING" else str(token)
        return Name(text, self._place(token))

    def _meant(self, token: Token) -> str:
        """What a text in quotes means."""

        def escape(found: re.Match[str]) -> str:
            char = found.group(1)
            if char not in ESCAPES:
                column = (token.column or 1) + found.start() + 1
                place = Place(self._path, token.line or 1, column, 2)
                self._faults.add("LW121", place, f"\\{char} is no escape", 'there are \\n, \\t, \\" and \\\\')
            return ESCAPES.get(char, char)

        return re.sub(r"\\(.)", escape, token[1:-1])

    def _value(self, tree: Tree[Token]) -> Value:
        child = tree.children[0]
        if isinstance(child, Token):
            form = FORMS[child.type]
            text = self._meant(child) if form is Form.TEXT else str(child)
            return Value(form, text.removeprefix("$") if form is Form.REFERENCE else text, self._place(child))
        items = tuple(self._value(item) for item in child.children if isinstance(item, Tree))
        place = items[0].place if items else self._end
        return Value(Form.LIST, "", place, items)

    def _setting(self, tree: Tree[Token]) -> Setting:
        name, value = tree.children
        assert isinstance(name, Token) and isinstance(value, Tree)
        read = self._value(value)
        if read.form is Form.LIST and not read.items:
            read = Value(Form.LIST, "", self._place(name))
        return Setting(self._name(name), read)

    def _statement(self, tree: Tree[Token]) -> Statement:
        children: list[Any] = list(tree.children)
        if tree.data == "setting":
            return self._setting(tree)
        if tree.data == "let":
            return Let(self._name(children[1]), self._value(children[2]))
        if tree.data == "include":
            return Include(self._name(children[1]))
        settings = tuple(self._setting(item) for item in children if _is(item, "setting"))
        (parents,) = (item for item in children if _is(item, "parents"))
        names = tuple(self._name(item) for item in parents.children)
        if tree.data == "template":
            return Template(self._name(children[1]), names, settings)
        (label,) = (item for item in children if _is(item, "label"))
        given = label.children[0] if label.children else None
        return Block(self._name(children[0]), self._name(given) if given else None, names, settings)


def _is(item: Any, data: str) -> bool:
    return isinstance(item, Tree) and item.data == data


FORMS = {"NAME": Form.WORD, "STRING": Form.TEXT, "AMOUNT": Form.AMOUNT, "REFERENCE": Form.REFERENCE}
VALUES = frozenset(("NAME", "STRING", "AMOUNT", "REFERENCE", "LSQB"))
WORDS = {"NAME": "a name", "STRING": "a text", "AMOUNT": "an amount", "REFERENCE": "$name"}
KNOWN = frozenset((*MARKS, *WORDS))


def parse(text: str, path: str, faults: Faults) -> File:
    """The statements of a text, as far as they can be read; every fault of its form is told."""
    return Reader(text, path, faults).read()
