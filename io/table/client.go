package table

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/cockroachdb/errors"

	"hickorybend/core/rows"
)

// Client is a rows.Store backed by the platform's table service.
type Client struct {
	service *dynamodb.Client
	name    string
	reads   atomic.Int64
	writes  atomic.Int64
}

// Options gives the address of the table service, the table and the credentials.
type Options struct {
	Endpoint string
	Table    string
	Region   string
	KeyID    string
	Secret   string
	HTTP     *http.Client
}

const (
	fieldPartition = "part"
	fieldSort      = "sort"
	fieldVersion   = "version"
	fieldWrites    = "writes"
	fieldBody      = "body"

	conditionAbsent  = "attribute_not_exists(version)"
	conditionVersion = "version = :base"
)

// ErrUnknownOutcome means that a transaction may or may not have committed.
var ErrUnknownOutcome = errors.New("table: outcome of the transaction is unknown")

// ErrMalformedRow means that an item of the table lacks a valid key or version.
var ErrMalformedRow = errors.New("table: an item is not a valid row")

// New returns a client. The retries of the AWS library are off, since the library
// cannot decide whether a second attempt is safe.
func New(options Options) *Client {
	service := dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(options.Endpoint),
		Region:       options.Region,
		Credentials:  credentials.NewStaticCredentialsProvider(options.KeyID, options.Secret, ""),
		Retryer:      aws.NopRetryer{},
		HTTPClient:   options.HTTP,
	})
	return &Client{service: service, name: options.Table}
}

// Reads returns the number of reads sent.
func (client *Client) Reads() int64 { return client.reads.Load() }

// Writes returns the number of transactions sent.
func (client *Client) Writes() int64 { return client.writes.Load() }

// Commit sends a transaction once.
func (client *Client) Commit(ctx context.Context, txn rows.Txn) rows.Outcome {
	ctx, cancel := context.WithTimeout(ctx, rows.CommitTimeout)
	defer cancel()
	items := make([]types.TransactWriteItem, len(txn.Ops))
	for i, op := range txn.Ops {
		items[i] = client.encodeOp(op, txn.WriteID)
	}
	client.writes.Add(1)
	_, err := client.service.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{TransactItems: items})
	return outcomeOf(txn, err)
}

// outcomeOf returns the outcome of a transaction from the service's error. Only a
// failed condition proves that the transaction did not commit.
func outcomeOf(txn rows.Txn, err error) rows.Outcome {
	if err == nil {
		return rows.Committed{}
	}
	var cancelled *types.TransactionCanceledException
	if !errors.As(err, &cancelled) {
		return rows.Unknown{Cause: errors.Mark(errors.Wrap(err, "table: committing"), ErrUnknownOutcome)}
	}
	for i, reason := range cancelled.CancellationReasons {
		if aws.ToString(reason.Code) == "ConditionalCheckFailed" && i < len(txn.Ops) {
			return rows.Rejected{Key: rows.KeyOf(txn.Ops[i])}
		}
	}
	return rows.Unknown{Cause: errors.Mark(errors.Wrap(err, "table: transaction cancelled without a failed condition"), ErrUnknownOutcome)}
}

// Get reads one row with a consistent read.
func (client *Client) Get(ctx context.Context, key rows.Key) (rows.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, rows.CommitTimeout)
	defer cancel()
	client.reads.Add(1)
	output, err := client.service.GetItem(ctx, &dynamodb.GetItemInput{
		TableName: aws.String(client.name), Key: encodeKey(key), ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return rows.Row{}, errors.Mark(errors.Wrapf(err, "table: reading %s/%s", key.Partition, key.Sort), rows.ErrOutage)
	}
	if len(output.Item) == 0 {
		return rows.Row{Key: key}, rows.ErrAbsent
	}
	return decodeRow(output.Item)
}

// List reads the rows of a partition, ordered by sort key. Pages are read one after the
// other, so the result is not a consistent snapshot: rows of a later page may be newer.
func (client *Client) List(ctx context.Context, partition string) ([]rows.Row, error) {
	var found []rows.Row
	var startKey map[string]types.AttributeValue
	for {
		output, err := client.queryPage(ctx, partition, startKey)
		if err != nil {
			return nil, errors.Mark(errors.Wrapf(err, "table: listing %s", partition), rows.ErrOutage)
		}
		for _, item := range output.Items {
			row, err := decodeRow(item)
			if err != nil {
				return nil, err
			}
			found = append(found, row)
		}
		if startKey = output.LastEvaluatedKey; len(startKey) == 0 {
			return found, nil
		}
	}
}

func (client *Client) queryPage(ctx context.Context, partition string, startKey map[string]types.AttributeValue) (*dynamodb.QueryOutput, error) {
	ctx, cancel := context.WithTimeout(ctx, rows.CommitTimeout)
	defer cancel()
	client.reads.Add(1)
	return client.service.Query(ctx, &dynamodb.QueryInput{
		TableName:                 aws.String(client.name),
		ConsistentRead:            aws.Bool(true),
		KeyConditionExpression:    aws.String(fieldPartition + " = :part"),
		ExpressionAttributeValues: map[string]types.AttributeValue{":part": stringValue(partition)},
		ExclusiveStartKey:         startKey,
	})
}

func (client *Client) encodeOp(op rows.Op, writeID string) types.TransactWriteItem {
	table := aws.String(client.name)
	switch typed := op.(type) {
	case rows.Put:
		condition, values := conditionOf(int64(typed.Base))
		return types.TransactWriteItem{Put: &types.Put{
			TableName: table, Item: encodeRow(rows.Apply(typed, writeID)),
			ConditionExpression: condition, ExpressionAttributeValues: values,
		}}
	case rows.Check:
		condition, values := conditionOf(int64(typed.Base))
		return types.TransactWriteItem{ConditionCheck: &types.ConditionCheck{
			TableName: table, Key: encodeKey(typed.Key),
			ConditionExpression: condition, ExpressionAttributeValues: values,
		}}
	case rows.Delete:
		condition, values := conditionOf(int64(typed.Base))
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName: table, Key: encodeKey(typed.Key),
			ConditionExpression: condition, ExpressionAttributeValues: values,
		}}
	default:
		panic(errors.AssertionFailedf("table: unknown operation %T", op))
	}
}

// conditionOf returns the condition that a row still has its base version; base 0 means
// that there is no row.
func conditionOf(base int64) (*string, map[string]types.AttributeValue) {
	if base == 0 {
		return aws.String(conditionAbsent), nil
	}
	return aws.String(conditionVersion), map[string]types.AttributeValue{":base": numberValue(base)}
}

func encodeKey(key rows.Key) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{fieldPartition: stringValue(key.Partition), fieldSort: stringValue(key.Sort)}
}

func encodeRow(row rows.Row) map[string]types.AttributeValue {
	writes := make([]types.AttributeValue, len(row.WriteIDs))
	for i, write := range row.WriteIDs {
		writes[i] = stringValue(write)
	}
	item := encodeKey(row.Key)
	item[fieldVersion] = numberValue(int64(row.Version))
	item[fieldWrites] = &types.AttributeValueMemberL{Value: writes}
	item[fieldBody] = &types.AttributeValueMemberB{Value: row.Body}
	return item
}

func decodeRow(item map[string]types.AttributeValue) (rows.Row, error) {
	partition, partitionOK := item[fieldPartition].(*types.AttributeValueMemberS)
	sort, sortOK := item[fieldSort].(*types.AttributeValueMemberS)
	version, versionOK := item[fieldVersion].(*types.AttributeValueMemberN)
	if !partitionOK || !sortOK || !versionOK {
		return rows.Row{}, ErrMalformedRow
	}
	row := rows.Row{Key: rows.Key{Partition: partition.Value, Sort: sort.Value}}
	parsed, err := strconv.ParseInt(version.Value, 10, 64)
	if err != nil {
		return rows.Row{}, errors.Mark(errors.Wrap(err, "table: parsing a version"), ErrMalformedRow)
	}
	row.Version = rows.Version(parsed)
	if body, ok := item[fieldBody].(*types.AttributeValueMemberB); ok {
		row.Body = body.Value
	}
	if writes, ok := item[fieldWrites].(*types.AttributeValueMemberL); ok {
		row.WriteIDs = decodeWrites(writes.Value)
	}
	return row, nil
}

func decodeWrites(values []types.AttributeValue) []string {
	writes := make([]string, 0, len(values))
	for _, value := range values {
		if write, ok := value.(*types.AttributeValueMemberS); ok {
			writes = append(writes, write.Value)
		}
	}
	return writes
}

func stringValue(value string) types.AttributeValue {
	return &types.AttributeValueMemberS{Value: value}
}

func numberValue(value int64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatInt(value, 10)}
}
