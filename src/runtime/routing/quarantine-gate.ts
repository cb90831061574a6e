/**
 * Keeps requests with a condemned prompt part from targets: new and repeated ones when they are
 * submitted, queued ones when the verdict comes, and granted ones right before their first byte.
 */
import {
	type DispatchRequest, type Grant, type Prompt, type Scheduler,
} from '../../core/dispatch/types.js';
import {RefusalError} from '../../core/errors/refusal-error.js';
import {PromptQuarantined} from '../../core/errors/refusals-data.js';
import {type Judgement} from '../../core/quarantine/types.js';

/** Most parts of a prompt that are judged; prompts have a few. */
const MAX_PARTS = 16;
/** Longest id of a part, in characters, that is judged; a longer one is cut. */
const MAX_PART_LENGTH = 64;

/** Returns the ids of the parts that a prompt shares with others: all but the last. */
export const sharedParts = ({parts}: Prompt): readonly string[] => parts.slice(0, -1).slice(0, MAX_PARTS).map(({id}) => id.slice(0, MAX_PART_LENGTH));

export type QuarantineGateOptions = {
	readonly scheduler: Required<Scheduler>;
	readonly judge: (parts: readonly string[], requestId: string) => Judgement;
	readonly isRefused: (parts: readonly string[]) => boolean;
	/** Returns the part for which a request is kept apart from others. */
	readonly suspectedPart: (parts: readonly string[]) => string | undefined;
};

export type QuarantineGate = Required<Scheduler> & {
	/** Refuses the queued requests with a condemned part. */
	readonly onCondemned: () => void;
};

type Queued = {readonly parts: readonly string[]; readonly refuse: () => void};

const refusal = (part: string, retryAfterMs: number): RefusalError => new RefusalError(PromptQuarantined, {part}, {retryAfterMs});

/** Requests with prompts go through the quarantine; all others go to the scheduler as they are. */
export const createQuarantineGate = ({scheduler, judge, isRefused, suspectedPart}: QuarantineGateOptions): QuarantineGate => {
	const queued = new Map<string, Queued>();
	const granted = new Map<string, readonly string[]>();
	/** Requests that check a verdict. */
	const checking = new Set<string>();

	const submit = (request: DispatchRequest, prompt: Prompt): ReturnType<Scheduler['submit']> => {
		const {requestId} = request;
		const parts = sharedParts(prompt);
		const judgement = judge(parts, requestId);
		if (judgement.kind === 'refuse') {
			return {granted: Promise.reject(refusal(judgement.part, judgement.retryAfterMs)), withdraw: () => undefined};
		}

		const isCheck = judgement.kind === 'check';
		const pending = scheduler.submit({...request, ...(request.placement && {placement: {...request.placement, isolateBy: () => isCheck ? judgement.part : suspectedPart(parts)}})});
		if (parts.length === 0) {
			return pending;
		}

		const refused = Promise.withResolvers<never>();
		let hasRefused = false;
		const entry: Queued = {
			parts,
			refuse() {
				const latest = judge(parts, requestId);
				if (!isCheck && latest.kind === 'refuse') {
					hasRefused = true;
					queued.delete(requestId);
					pending.withdraw();
					refused.reject(refusal(latest.part, latest.retryAfterMs));
				}
			},
		};
		queued.set(requestId, entry);
		const leave = (): void => {
			if (queued.get(requestId) === entry) {
				queued.delete(requestId);
			}
		};

		const onGranted = async (): Promise<Grant> => {
			try {
				const grant = await pending.granted;
				if (hasRefused) {
					scheduler.end(grant, {kind: 'unsent', cost: 0, answerMs: 0});
					return grant;
				}

				granted.set(grant.grantId, parts);
				if (isCheck) {
					checking.add(grant.grantId);
				}

				return grant;
			} finally {
				leave();
			}
		};

		return {
			granted: Promise.race([onGranted(), refused.promise]),
			withdraw() {
				leave();
				pending.withdraw();
			},
		};
	};

	return {
		submit(request) {
			const prompt = request.placement?.prompt;
			return prompt ? submit(request, prompt) : scheduler.submit(request);
		},
		isValid: grant => scheduler.isValid(grant) && (checking.has(grant.grantId) || !isRefused(granted.get(grant.grantId) ?? [])),
		end(grant, result) {
			granted.delete(grant.grantId);
			checking.delete(grant.grantId);
			scheduler.end(grant, result);
		},
		observe: scheduler.observe,
		onCondemned() {
			for (const {parts, refuse} of queued.values()) {
				if (isRefused(parts)) {
					refuse();
				}
			}
		},
	};
};
