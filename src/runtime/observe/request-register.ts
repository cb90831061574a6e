/** The open requests of this VM and the refusals that it returned to callers, for operators' queries. */
import {type AttemptState} from '../../core/attempt/types.js';
import {type RefusalError} from '../../core/errors/refusal-error.js';
import {type Row} from '../../core/language/evaluate-query.js';

/** Properties of a request that do not change. */
export type RegisteredRequest = {
	readonly requestId: string;
	readonly team: string;
	readonly service: string;
	/** Time of arrival in monotonic milliseconds. */
	readonly arrivedMs: number;
};

/** Team and service of a refused request, as far as they are known. */
export type RefusedRequest = {
	readonly team?: string | undefined;
	readonly service?: string | undefined;
};

export type RequestRegister = {
	/** Records the current state of a request. */
	readonly update: (request: RegisteredRequest, state: AttemptState) => void;
	/** Removes a request that has ended. */
	readonly remove: (requestId: string) => void;
	readonly countRefusal: (refusal: RefusalError, request: RefusedRequest) => void;
	readonly requestRows: (nowMs: number) => readonly Row[];
	readonly refusalRows: () => readonly Row[];
};

type Open = {readonly request: RegisteredRequest; readonly state: AttemptState};
type Refused = RefusedRequest & {readonly refusal: RefusalError; readonly count: number};

const requestRow = (vm: string, {request, state}: Open, nowMs: number): Row => ({
	id: request.requestId,
	team: request.team,
	service: request.service,
	state: state.kind,
	vm,
	target: state.grant?.target,
	age_ms: Math.round(nowMs - request.arrivedMs),
	attempts: state.retries + 1,
});

const refusalRow = ({refusal, team, service, count}: Refused): Row => ({
	reason: refusal.data.name, team, service, not_run: refusal.notRun, count,
});

/** Creates the register of one VM. */
export const createRequestRegister = (vm: string): RequestRegister => {
	const open = new Map<string, Open>();
	const refused = new Map<string, Refused>();
	return {
		update(request, state) {
			open.set(request.requestId, {request, state});
		},
		remove(requestId) {
			open.delete(requestId);
		},
		countRefusal(refusal, {team, service}) {
			const key = JSON.stringify([refusal.data.name, team, service]);
			refused.set(key, {
				refusal, team, service, count: (refused.get(key)?.count ?? 0) + 1,
			});
		},
		requestRows: nowMs => [...open.values()].map(each => requestRow(vm, each, nowMs)),
		refusalRows: () => [...refused.values()].map(each => refusalRow(each)),
	};
};
