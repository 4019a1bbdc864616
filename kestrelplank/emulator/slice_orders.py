"""The orders of assigners, in the form that `state.tables.Tables.apply` takes."""

Order = tuple[object, ...]
