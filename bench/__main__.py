"""Run all benchmarks and print their results."""

from . import idle, policies, processes, scale, slopes

for benchmark in (scale, slopes, policies, idle, processes):
    print(f"== {benchmark.__doc__}")
    benchmark.main()
