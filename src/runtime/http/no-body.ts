/** Whether responses with a status have no body, whatever their headers declare (RFC 9112, section 6.3). */
export const hasNoBody = (status: number): boolean => status === 204 || status === 304;
