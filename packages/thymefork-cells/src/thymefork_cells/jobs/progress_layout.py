"""How the progress of a large job is divided into records."""

from attrs import define, field

__all__ = ["MAX_WHOLE_BYTES", "TASKS_PER_PART", "ProgressLayout"]

# Progress of up to this size is one record, which earlier releases can read, too.
MAX_WHOLE_BYTES = 16_384
# A change of one task writes a record of as many tasks.
TASKS_PER_PART = 32
# The checkpoints of a job may take this much of the store: a next owner reads them all.
MAX_CHECKPOINTS_BYTES = 1_000_000
# Share of a record that is left to its tasks' runs and losses.
ROWS_SHARE = 0.25


@define(kw_only=True, eq=False)
class ProgressLayout:
    """Assign the tasks of a job to records of a fixed number of tasks, its parts.

    `stored_parts` are the parts that may be stored. They hold only once the job's own
    record names them, so that one has to be stored after them: `is_in_force` is set as
    soon as it is being stored. It `keeps_checkpoints` unless the store refused them;
    `has_long_checkpoints` is set once one was too long to be stored.
    """

    job: object
    tasks_per_part: int = TASKS_PER_PART
    stored_parts: set = field(factory=set)
    is_in_force: bool = False
    keeps_checkpoints: bool = True
    has_long_checkpoints: bool = False

    def part_of(self, task):
        """Return the number of the part that holds a task."""
        return task.number // self.tasks_per_part

    @property
    def parts(self):
        """Return the numbers of all parts."""
        return range(-(-len(self.job.tasks) // self.tasks_per_part))

    def tasks_of(self, part):
        """Return the tasks that a part holds."""
        first = part * self.tasks_per_part
        return self.job.tasks[first : first + self.tasks_per_part]

    def max_checkpoint_bytes(self, limits):
        """Return the length of the longest checkpoint that is stored with a task.

        Longer ones are known to the present owner only.
        """
        if not self.keeps_checkpoints:
            return 0
        task_count = len(self.job.tasks)
        in_record = (1.0 - ROWS_SHARE) * limits.max_record_bytes
        in_record /= min(self.tasks_per_part, task_count)
        return int(min(in_record, MAX_CHECKPOINTS_BYTES / task_count))
