import {performance} from 'node:perf_hooks';
import {type Clock} from '../core/clock.js';

/** The process's monotonic clock. Changes of the wall clock do not affect it. */
export const monotonicClock: Clock = {nowMs: () => performance.now()};
