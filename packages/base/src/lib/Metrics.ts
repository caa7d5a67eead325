import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client';

/** Default buckets of latency histograms, in seconds. */
const LATENCY_BUCKETS_S = [0.001, 0.005, 0.02, 0.058, 0.2, 0.5, 1.4, 3, 10, 30];

/** Metrics of one process, each created on first use under the prefix `berylwood_`. @public */
export class Metrics {
  readonly registry = new Registry();

  /** Collects the metrics of the Node.js process: memory, CPU time and event-loop delay. */
  collectProcess(): void {
    collectDefaultMetrics({ register: this.registry });
  }

  counter(name: string, help: string, labelNames: string[] = []): Counter {
    const found = this.registry.getSingleMetric(`berylwood_${name}`);
    if (found) return found as Counter;
    return new Counter({ name: `berylwood_${name}`, help, labelNames, registers: [this.registry] });
  }

  gauge(name: string, help: string, labelNames: string[] = []): Gauge {
    const found = this.registry.getSingleMetric(`berylwood_${name}`);
    if (found) return found as Gauge;
    return new Gauge({ name: `berylwood_${name}`, help, labelNames, registers: [this.registry] });
  }

  /** Exposes a value that is read whenever the metrics are. */
  readGauge(name: string, help: string, read: () => number): void {
    if (this.registry.getSingleMetric(`berylwood_${name}`)) return;
    const gauge: Gauge = new Gauge({
      name: `berylwood_${name}`,
      help,
      registers: [this.registry],
      collect: () => gauge.set(read()),
    });
  }

  histogram(
    name: string,
    help: string,
    labelNames: string[] = [],
    buckets: number[] = LATENCY_BUCKETS_S,
  ): Histogram {
    const found = this.registry.getSingleMetric(`berylwood_${name}`);
    if (found) return found as Histogram;
    const registers = [this.registry];
    return new Histogram({ name: `berylwood_${name}`, help, labelNames, buckets, registers });
  }

  /** Returns all metrics in the Prometheus text format. */
  expose(): Promise<string> {
    return this.registry.metrics();
  }
}
