/** A config like those of the small sites: routes for streams, debits and look-ups, two services and one tenant. */
/* eslint-disable camelcase -- names of the platform's protocol */
import {HOST, KEY} from './caller.mjs';

const route = (name, service, more) => ({
	name: `r-${name}`, host: HOST, path_prefix: `/${name}/`, timeout_ms: 3000, target_latency_ms: 386, priority: 1, service, max_attempts: 2, public: false, session_affinity: false, ...more,
});

const stream = {
	type: 'streaming', timeout_ms: 12_000, target_latency_ms: 1000, session_affinity: true, target_gap_ms: 500,
};

/** @param debitMs - `timeout_ms` of the route of debits. */
export const configOf = (version, {keys = [KEY], debitMs = 3000} = {}) => ({
	version,
	routes: [
		route('brief', 'tariff', {...stream, stream_resume: true}),
		route('chat', 'tariff', {...stream, max_attempts: 1, stream_resume: false}),
		route('debit', 'ledger', {type: 'non_idempotent', timeout_ms: debitMs}),
		route('look', 'ledger', {type: 'idempotent'}),
	],
	services: [
		{
			name: 'tariff', health_path: '/healthz', max_connections: 360, protocol: 'h1', tls: false, cold_start_s: 3, cold_per_s: 10, engine: {
				slots: 64, kv_capacity: 460_737, kv_bytes: 18_432, link_mbps: 280_000, moves: true, backups: true, stride: 7, most: 12, pin_ms: 4000, hold_ms: 2000, handle_s: 5, models: [{name: 'm'}],
			},
		},
		{
			name: 'ledger', health_path: '/healthz', max_connections: 100, protocol: 'h1', tls: false, cold_start_s: 0, cold_per_s: 0,
		},
	],
	limits: {
		max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000, tokens_per_s: 133_000,
	},
	tenants: [{name: 'hule930', api_keys: keys, priority: 1}],
});
