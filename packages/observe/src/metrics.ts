/** Counters and latency histograms, rendered in the Prometheus text format. */

import { build, type Histogram } from "hdr-histogram-js";

const quantiles = [0.5, 0.95, 0.99, 1];
const maxTrackableUs = 3_600_000_000;
const usPerMs = 1000;
const usPerSecond = 1_000_000;

/** Metrics of one process; the type parameters are the enums that name its counters and latencies. */
export class Metrics<Counter extends string, Latency extends string> {
  private readonly counters = new Map<Counter, number>();
  private readonly histograms = new Map<Latency, Histogram>();

  private constructor() {
    // Instances are created by `create`.
  }

  static create<Counter extends string, Latency extends string>(): Metrics<
    Counter,
    Latency
  > {
    return new Metrics();
  }

  count(counter: Counter, by = 1): void {
    this.counters.set(counter, (this.counters.get(counter) ?? 0) + by);
  }

  observe(latency: Latency, ms: number): void {
    this.histogram(latency).recordValue(
      Math.min(maxTrackableUs, Math.max(0, Math.round(ms * usPerMs))),
    );
  }

  /** Renders all metrics as Prometheus text; `gauges` are added with their given values. */
  render(gauges: Readonly<Record<string, number>>): string {
    const lines: string[] = [];
    for (const [name, value] of this.counters)
      lines.push(`cardamomglade_${name} ${String(value)}`);
    for (const [name, value] of Object.entries(gauges))
      lines.push(`cardamomglade_${name} ${String(value)}`);
    for (const [name, histogram] of this.histograms)
      lines.push(...renderHistogram(name, histogram));
    return `${lines.join("\n")}\n`;
  }

  private histogram(latency: Latency): Histogram {
    const known = this.histograms.get(latency);
    if (known !== undefined) return known;
    const created = build({
      highestTrackableValue: maxTrackableUs,
      numberOfSignificantValueDigits: 2,
    });
    this.histograms.set(latency, created);
    return created;
  }
}

const renderHistogram = (name: string, histogram: Histogram): string[] => {
  const full = `cardamomglade_${name}`;
  const rows = quantiles.map((quantile) => {
    const value = histogram.getValueAtPercentile(quantile * 100) / usPerSecond;
    return `${full}{quantile="${String(quantile)}"} ${String(value)}`;
  });
  return [...rows, `${full}_count ${String(histogram.totalCount)}`];
};
