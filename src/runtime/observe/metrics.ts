/** The metrics of one VM. Their names follow the Prometheus conventions. */
import process from 'node:process';
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';

const US_PER_S = 1e6;

/** Bucket bounds in seconds, from a few milliseconds to a minute. */
const DURATION_BUCKETS_S = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60];

const createCounters = (registry: Registry) => {
	const registers = [registry];
	return {
		requests: new Counter({
			name: 'jackdawwood_requests_total', help: 'Requests by outcome.', labelNames: ['service', 'outcome'] as const, registers,
		}),
		refusals: new Counter({
			name: 'jackdawwood_refusals_total', help: 'Refusals told to callers.', labelNames: ['reason', 'not_run'] as const, registers,
		}),
		ingress: new Counter({
			name: 'jackdawwood_ingress_requests_total', help: 'Requests that were admitted or refused by processor time.', labelNames: ['result'] as const, registers,
		}),
		overloadRefusals: new Counter({
			name: 'jackdawwood_overload_refusals_total', help: 'Requests refused because this VM has no room, by team.', labelNames: ['team'] as const, registers,
		}),
		retries: new Counter({
			name: 'jackdawwood_retries_total', help: 'Requests asked for again.', labelNames: ['reason'] as const, registers,
		}),
		droppedAnswers: new Counter({
			name: 'jackdawwood_dropped_answers_total', help: 'Answers and events of targets that were not used.', labelNames: ['reason'] as const, registers,
		}),
		streamResumes: new Counter({
			name: 'jackdawwood_stream_resumes_total', help: 'Attempts to resume a broken stream.', labelNames: ['result'] as const, registers,
		}),
		queueOutcomes: new Counter({
			name: 'jackdawwood_queue_outcomes_total', help: 'Requests that were given a target or refused one, by the tier of the queue in which they were.',
			labelNames: ['service', 'tier', 'outcome'] as const, registers,
		}),
		cancels: new Counter({
			name: 'jackdawwood_cancels_total', help: 'Runs cancelled at the target.', labelNames: ['result'] as const, registers,
		}),
		memoryEnded: new Counter({
			name: 'jackdawwood_memory_ended_total', help: 'Responses that were ended to free memory.', labelNames: ['reason'] as const, registers,
		}),
		uncaughtErrors: new Counter({
			name: 'jackdawwood_uncaught_errors_total', help: 'Errors that nothing caught.', registers,
		}),
		rolloutSteps: new Counter({
			name: 'jackdawwood_rollout_steps_total', help: 'Steps of roll-outs that this VM wrote.', labelNames: ['service', 'phase', 'reason'] as const, registers,
		}),
		claims: new Counter({
			name: 'jackdawwood_claims_total', help: 'Claims of idempotency keys.', labelNames: ['result'] as const, registers,
		}),
		rejectedRows: new Counter({
			name: 'jackdawwood_rejected_rows_total', help: 'Rows of the store that were not understood.', labelNames: ['table'] as const, registers,
		}),
		exchangeFaults: new Counter({
			name: 'jackdawwood_exchange_faults_total', help: 'Datagrams to or from other VMs that could not be encoded, sent or processed.', labelNames: ['direction'] as const, registers,
		}),
		peerDatagrams: new Counter({
			name: 'jackdawwood_peer_datagrams_total', help: 'Datagrams sent to other VMs.', labelNames: ['kind'] as const, registers,
		}),
		peerMessages: new Counter({
			name: 'jackdawwood_peer_messages_total', help: 'Messages in datagrams sent to other VMs.', labelNames: ['kind'] as const, registers,
		}),
		peerBytes: new Counter({
			name: 'jackdawwood_peer_bytes_total', help: 'Bytes of datagrams sent to other VMs.', labelNames: ['kind'] as const, registers,
		}),
		targetBytes: new Counter({
			name: 'jackdawwood_target_bytes_total', help: 'Bytes of request bodies sent to targets and of response bodies read from them.', labelNames: ['direction', 'data_centre'] as const, registers,
		}),
		promptOutcomes: new Counter({
			name: 'jackdawwood_prompt_outcomes_total', help: 'Requests with a prompt that were given a target or refused one, by the size of the prompt.',
			labelNames: ['service', 'route', 'tokens', 'outcome'] as const, registers,
		}),
		reservationAttempts: new Counter({
			name: 'jackdawwood_reservation_attempts_total', help: 'Reservations that were requested for prompts, by the size of the prompt.', labelNames: ['service', 'route', 'tokens'] as const, registers,
		}),
		targetEnds: new Counter({
			name: 'jackdawwood_target_ends_total', help: 'Ends of target processes with requests in service, as far as this VM knows.', registers,
		}),
		quarantineSteps: new Counter({
			name: 'jackdawwood_quarantine_steps_total', help: 'Prompt parts that were quarantined, checked or released.', labelNames: ['step', 'reason'] as const, registers,
		}),
		storeRestores: new Counter({
			name: 'jackdawwood_store_restores_total', help: 'Times that the store came back from an older copy.', registers,
		}),
	};
};

const createHistograms = (registry: Registry) => {
	const registers = [registry];
	const labelNames = ['service'] as const;
	return {
		queueWait: new Histogram({
			name: 'jackdawwood_queue_wait_seconds', help: 'From arrival to the first byte sent.', labelNames, buckets: DURATION_BUCKETS_S, registers,
		}),
		responseTime: new Histogram({
			name: 'jackdawwood_answer_seconds', help: 'From arrival to the end of the answer.', labelNames, buckets: DURATION_BUCKETS_S, registers,
		}),
		firstChunkTime: new Histogram({
			name: 'jackdawwood_first_part_seconds', help: 'From arrival to the first part of the answer.', labelNames, buckets: DURATION_BUCKETS_S, registers,
		}),
		storeCallTime: new Histogram({
			name: 'jackdawwood_store_call_seconds', help: 'Calls to the store, with the time that they wait for changes.', labelNames: ['call', 'result'] as const,
			buckets: DURATION_BUCKETS_S, registers,
		}),
		staleInput: new Histogram({
			name: 'jackdawwood_stale_input_seconds', help: 'Age of the input when a request waited for a further read before it was sent to a target.', buckets: DURATION_BUCKETS_S, registers,
		}),
		loopDelay: new Histogram({
			name: 'jackdawwood_loop_delay_seconds', help: 'How late a timer of the process fires: how far it is behind its work.', buckets: DURATION_BUCKETS_S, registers,
		}),
		claimTime: new Histogram({
			name: 'jackdawwood_claim_seconds', help: 'From the wish to claim a key to the result.', buckets: DURATION_BUCKETS_S, registers,
		}),
	};
};

const createGauges = (registry: Registry) => {
	const registers = [registry];
	return {
		cpu: new Gauge({
			name: 'jackdawwood_cpu_seconds', help: 'Processor time of this process since its start.', registers,
			collect() {
				const {user, system} = process.cpuUsage();
				this.set((user + system) / US_PER_S);
			},
		}),
		openRequests: new Gauge({
			name: 'jackdawwood_open_requests', help: 'Requests that callers wait for.', registers,
		}),
		heldBytes: new Gauge({
			name: 'jackdawwood_held_bytes', help: 'Bytes held for callers and targets.', labelNames: ['part'] as const, registers,
		}),
		shedShare: new Gauge({
			name: 'jackdawwood_shed_share', help: 'Share of requests that is refused because this VM is overloaded.', registers,
		}),
		ingressBacklog: new Gauge({
			name: 'jackdawwood_ingress_backlog_seconds', help: 'Time that this VM\'s part of a processor needs for what it has admitted.', registers,
		}),
		ingressCost: new Gauge({
			name: 'jackdawwood_ingress_cost_seconds', help: 'Estimated processor time of a request, an open request\'s second, or a second of the process.', labelNames: ['work'] as const, registers,
		}),
		rolloutShare: new Gauge({
			name: 'jackdawwood_rollout_share', help: 'Share of a service that goes to the version that is rolled out, as this VM knows it.', labelNames: ['service'] as const, registers,
		}),
		teamShare: new Gauge({
			name: 'jackdawwood_team_share', help: 'Share of a service that a team received.', labelNames: ['service', 'team'] as const, registers,
		}),
		targetLimit: new Gauge({
			name: 'jackdawwood_target_limit', help: 'Concurrency limit of a target.', labelNames: ['target'] as const, registers,
		}),
		leases: new Gauge({
			name: 'jackdawwood_leases_held', help: 'Pools that this VM dispatches.', registers,
		}),
		queueWaiting: new Gauge({
			name: 'jackdawwood_queue_waiting', help: 'Requests that wait for a target.', labelNames: ['service', 'tier'] as const, registers,
		}),
		quarantinedParts: new Gauge({
			name: 'jackdawwood_quarantined_parts', help: 'Prompt parts whose requests are refused.', registers,
		}),
		targetsKnown: new Gauge({
			name: 'jackdawwood_targets_known', help: 'Targets that this VM knows of.', registers,
		}),
		fleetUpdateAge: new Gauge({
			name: 'jackdawwood_fleet_news_age_seconds', help: 'Time since the source of fleet news was last heard.', registers,
		}),
		reportingVms: new Gauge({
			name: 'jackdawwood_vms_heard', help: 'Other VMs whose load reports are fresh.', registers,
		}),
		configVersion: new Gauge({
			name: 'jackdawwood_config_version', help: 'Configuration version in force.', registers,
		}),
		controlBytes: new Gauge({
			name: 'jackdawwood_control_bytes', help: 'Bytes exchanged with other VMs since the start.', labelNames: ['direction'] as const, registers,
		}),
		controlFrames: new Gauge({
			name: 'jackdawwood_control_frames', help: 'Frames exchanged with other VMs since the start.', labelNames: ['direction'] as const, registers,
		}),
	};
};

/**
 * Creates the metrics in a registry of their own, so that tests can run several VMs in one
 * process.
 */
export const createMetrics = (registry = new Registry()) => ({
	registry,
	...createCounters(registry),
	...createHistograms(registry),
	...createGauges(registry),
});

export type Metrics = ReturnType<typeof createMetrics>;
