/** The parts of the metrics' library that the router uses, for the bundle: its index brings OpenTelemetry's interface and Node's default metrics. */
export {default as Registry} from '../node_modules/prom-client/lib/registry.js';
export {default as Counter} from '../node_modules/prom-client/lib/counter.js';
export {default as Gauge} from '../node_modules/prom-client/lib/gauge.js';
export {default as Histogram} from '../node_modules/prom-client/lib/histogram.js';
