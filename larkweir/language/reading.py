"""A root file and its library to the model, with all faults: what every command and the start do first."""

from __future__ import annotations

from larkweir.config.options import Operator
from larkweir.config.platform import Config
from larkweir.language.faults import Faults
from larkweir.language.model import Builder, Model, alone, beside, labelled
from larkweir.language.resolve import Library, Resolver


def read(root: str, library: Library, faults: Faults, config: Config | None = None) -> Model:
    """The model of a root file; it counts only if no fault is grave. With `config` its policies are checked beside a
    platform file.
    """
    resolved = Resolver(library, faults, labelled()).run(root)
    model = Builder(faults).build(resolved)
    if faults.fatal:
        return Model(Operator())
    alone(model, faults)
    if config is not None:
        beside(model, config, faults, root)
    return model
