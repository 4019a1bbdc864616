"""A member's disk in memory: what the contract of `test_store` says of the one on disk."""

from kestrelplank.sharding.claims import Register


class Memory:
    def __init__(self):
        self._roll, self._word, self._registers = None, None, {}

    def roll(self):
        return self._roll

    def keep_roll(self, members):
        self._roll = members

    def word(self):
        return self._word

    def keep_word(self, timetable):
        if self._word is None or timetable.key > self._word.key:
            self._word = timetable

    def registers(self):
        return dict(self._registers)

    def keep_registers(self, registers):
        for service, register in registers.items():
            self._registers[service] = register.with_all_of(self._registers.get(service, Register()))

    def close(self):
        pass
