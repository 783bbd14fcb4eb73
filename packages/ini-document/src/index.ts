/** Parses INI text and validates it against a schema; reports every issue. */
export {parseSections, validateSection} from './ini_document';
export type {SectionResult, Sections} from './ini_document';
export {formatIssues} from './validation_issue';
export type {ValidationIssue} from './validation_issue';
export * as fields from './fields';
